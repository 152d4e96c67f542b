/// \file
/// Quotas of teams, shared between pools: one document a team says how much of its quota each
/// pool's owner may use, so that the sum is guarded by compare-and-swap on one key.
#pragma once

#include "jobs/job.hpp"

#include <string>
#include <vector>

namespace camphorhitch::jobs
{

struct quota_grant
{
    std::string pool;
    amounts granted;
    amounts wanted; ///< when last asked
};

struct quota_document
{
    std::string team;
    std::vector<quota_grant> grants;
};

/// \return the document's key in the key-value service.
std::string quota_key(const std::string& team);

/// \return what a pool was granted.
amounts granted_to(const quota_document& d, const std::string& pool);

/// Adapts a pool's grant to what it uses and wants. A pool that wants more gets what is left, with
/// some to spare; while another pool lacks something, each keeps what it uses or its equal part.
/// \param in_use sizes of the pool's tasks; no grant goes below it.
/// \param wanted in use and waiting together.
/// \return whether the document changed. While a smaller grant is being written, its owner must
/// place by the smaller one: the write may take effect at any moment.
bool adjust(quota_document& d,
    const std::string& pool,
    const amounts& in_use,
    const amounts& wanted,
    const amounts& quota);

/// \return the smaller of each.
amounts smaller(const amounts& a, const amounts& b);

/// \return the larger of each.
amounts larger(const amounts& a, const amounts& b);

} // namespace camphorhitch::jobs
