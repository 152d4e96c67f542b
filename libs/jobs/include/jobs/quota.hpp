/// \file
/// Quotas of teams, shared between pools: one document a team says how much of its quota each
/// pool's owner may use, so that the sum is guarded by compare-and-swap on one key.
#pragma once

#include "jobs/job.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::jobs
{

/// What a pool's owner asks for a team.
struct quota_wish
{
    std::string team;
    std::string pool;
    placer_mark owner;
    amounts in_use; ///< sizes of the pool's tasks; no grant goes below it
    amounts wanted; ///< in use and waiting together
};

struct quota_grant
{
    std::string pool;
    placer_mark owner; ///< who asked last
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

/// \return what the pool was granted in answer to the wish or an earlier one of its owner; nothing
/// when the document doesn't hold the owner's wish, or a newer owner's.
std::optional<amounts> granted_to(const quota_document& d, const quota_wish& wish);

/// Adapts a pool's grant to what it uses and wants. A pool that wants more gets what is left, with
/// some to spare; while another pool lacks something, each keeps what it uses or its equal part.
/// A wish of a former owner, delayed until the pool has a newer one, changes nothing: it would
/// lower the grant below what the newer one has placed since. \return whether the document changed.
bool adjust(quota_document& d, const quota_wish& wish, const amounts& quota);

/// \return the smaller of each.
amounts smaller(const amounts& a, const amounts& b);

/// \return the larger of each.
amounts larger(const amounts& a, const amounts& b);

} // namespace camphorhitch::jobs
