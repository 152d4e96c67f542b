/// \file
/// Quotas of teams, shared between pools. One document for each team states how much of the quota
/// each pool's owner may use, so that compare-and-swap on one key guards the sum.
#pragma once

#include "jobs/job.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::jobs
{

/// A pool owner's request for a part of a team's quota.
struct quota_request
{
    std::string team;
    std::string pool;
    fencing_token owner;
    resources in_use; ///< declared sizes of the pool's tasks; no grant is lowered below it
    resources wanted; ///< declared sizes of the running and the waiting jobs
};

/// The part of a team's quota that one pool's owner may use.
struct quota_grant
{
    std::string pool;
    fencing_token owner; ///< of the newest request
    resources granted;
    resources wanted; ///< in the newest request
};

/// The grants of one team in all pools.
struct quota_document
{
    std::string team;
    std::vector<quota_grant> grants;
};

/// \return the document's key in the key-value service.
std::string quota_key(const std::string& team);

/// \return the pool's grant in answer to this request or an earlier one of the same owner; nothing
/// when the document holds no request of this owner, or one of a newer owner.
std::optional<resources> find_grant(const quota_document& d, const quota_request& request);

/// Adapts a pool's grant to what the pool uses and wants. A pool that wants more gets the remaining
/// quota up to its demand and some headroom. While another pool is short, each pool keeps what it
/// uses, or its equal share. A request of a previous owner that arrives after a newer owner's
/// request changes nothing: it would lower the grant below what the newer owner has placed since.
/// \return whether the document changed.
bool adjust_grant(quota_document& d, const quota_request& request, const resources& quota);

/// \return the smaller value of each resource.
resources elementwise_min(const resources& a, const resources& b);

/// \return the larger value of each resource.
resources elementwise_max(const resources& a, const resources& b);

} // namespace camphorhitch::jobs
