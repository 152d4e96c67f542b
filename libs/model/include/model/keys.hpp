/// \file
/// Keys of the documents in the key-value service.
#pragma once

#include <string>

namespace camphorhitch::model::keys
{

inline const std::string root = "/camphorhitch/";
inline const std::string config = root + "config";
inline const std::string roster = root + "roster";
inline const std::string members = root + "members/"; ///< + member; key with a lease
inline const std::string pools = root + "pools/";
inline const std::string waves = root + "waves/";
inline const std::string jobs = root + "jobs/";     ///< + pool + "/" + bucket
inline const std::string quotas = root + "quotas/"; ///< + team
inline const std::string experiments = root + "experiments/";

} // namespace camphorhitch::model::keys
