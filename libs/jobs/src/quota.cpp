#include "jobs/quota.hpp"

#include "core/invariant.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::jobs
{

namespace
{

/// A grant is larger than requested, so that a growing queue does not cost a write for each job.
constexpr double headroom_factor = 1.25;

resources scaled(const resources& a, double by)
{
    return {a.processors * by,
        a.memory_gb * by,
        static_cast<int>(std::ceil(static_cast<double>(a.accelerators) * by))};
}

resources equal_share(const resources& quota, int pools)
{
    return {quota.processors / pools, quota.memory_gb / pools, quota.accelerators / pools};
}

resources sum_of(const quota_document& d)
{
    resources sum;
    for (const auto& it : d.grants)
    {
        sum = sum + it.granted;
    }
    return sum;
}

quota_grant& grant_of(quota_document& d, const std::string& pool)
{
    const auto it = std::find_if(
        d.grants.begin(), d.grants.end(), [&](const auto& grant) { return grant.pool == pool; });
    if (it != d.grants.end())
    {
        return *it;
    }
    d.grants.push_back({pool, {}, {}, {}});
    return d.grants.back();
}

bool is_short(const quota_grant& it)
{
    return !fits(it.wanted, it.granted);
}

int count_short_pools(const quota_document& d, const std::string& except)
{
    return static_cast<int>(std::count_if(d.grants.begin(),
        d.grants.end(),
        [&](const auto& it) { return it.pool != except && is_short(it); }));
}

int count_interested_pools(const quota_document& d)
{
    const auto n = std::count_if(d.grants.begin(),
        d.grants.end(),
        [](const auto& it) { return !(it.wanted == resources{}) || !(it.granted == resources{}); });
    return std::max(1, static_cast<int>(n));
}

resources target_for(const quota_document& d,
    const quota_grant& own,
    const resources& in_use,
    const resources& quota)
{
    if (count_short_pools(d, own.pool) == 0)
    {
        return scaled(own.wanted, headroom_factor);
    }
    const resources part = equal_share(quota, count_interested_pools(d));
    return elementwise_max(in_use, elementwise_min(own.wanted, part));
}

} // namespace

std::string quota_key(const std::string& team)
{
    return model::keys::quotas + team;
}

std::optional<resources> find_grant(const quota_document& d, const quota_request& request)
{
    for (const auto& it : d.grants)
    {
        if (it.pool == request.pool && it.owner == request.owner)
        {
            return it.granted;
        }
    }
    return std::nullopt;
}

resources elementwise_min(const resources& a, const resources& b)
{
    return {std::min(a.processors, b.processors),
        std::min(a.memory_gb, b.memory_gb),
        std::min(a.accelerators, b.accelerators)};
}

resources elementwise_max(const resources& a, const resources& b)
{
    return {std::max(a.processors, b.processors),
        std::max(a.memory_gb, b.memory_gb),
        std::max(a.accelerators, b.accelerators)};
}

bool adjust_grant(quota_document& d, const quota_request& request, const resources& quota)
{
    const resources before = sum_of(d);
    quota_grant& own = grant_of(d, request.pool);
    const quota_grant old = own;
    if (old.owner.epoch > request.owner.epoch)
    {
        return false;
    }
    own.owner = request.owner;
    own.wanted = elementwise_min(request.wanted, quota);
    const resources others = before - own.granted;
    const resources remaining = elementwise_max(quota - others, {});
    const resources target = elementwise_min(target_for(d, own, request.in_use, quota), remaining);
    // The quota of running jobs can't be taken back: after a quota was lowered, the use remains
    // granted until jobs end.
    own.granted = elementwise_max(target, elementwise_min(request.in_use, own.granted));
    core::require(fits(sum_of(d), elementwise_max(quota, before)),
        "a team's grants exceed its quota",
        d.team);
    return !(own.owner == old.owner) || !(own.granted == old.granted) ||
           is_short(own) != is_short(old);
}

} // namespace camphorhitch::jobs
