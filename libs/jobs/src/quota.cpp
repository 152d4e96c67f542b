#include "jobs/quota.hpp"

#include "core/invariant.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::jobs
{

namespace
{

/// A grant is made larger than asked, so that a growing queue doesn't cost a write for each job.
constexpr double spare_factor = 1.25;

amounts scaled(const amounts& a, double by)
{
    return {a.processors * by,
        a.memory_gb * by,
        static_cast<int>(std::ceil(static_cast<double>(a.accelerators) * by))};
}

amounts equal_part(const amounts& quota, int pools)
{
    return {quota.processors / pools, quota.memory_gb / pools, quota.accelerators / pools};
}

amounts sum_of(const quota_document& d)
{
    amounts sum;
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

bool lacks(const quota_grant& it)
{
    return !fits(it.wanted, it.granted);
}

int lacking_pools(const quota_document& d, const std::string& but)
{
    return static_cast<int>(std::count_if(d.grants.begin(),
        d.grants.end(),
        [&](const auto& it) { return it.pool != but && lacks(it); }));
}

int pools_with_interest(const quota_document& d)
{
    const auto n = std::count_if(d.grants.begin(),
        d.grants.end(),
        [](const auto& it) { return !(it.wanted == amounts{}) || !(it.granted == amounts{}); });
    return std::max(1, static_cast<int>(n));
}

amounts target_of(
    const quota_document& d, const quota_grant& own, const amounts& in_use, const amounts& quota)
{
    if (lacking_pools(d, own.pool) == 0)
    {
        return scaled(own.wanted, spare_factor);
    }
    const amounts part = equal_part(quota, pools_with_interest(d));
    return larger(in_use, smaller(own.wanted, part));
}

} // namespace

std::string quota_key(const std::string& team)
{
    return model::keys::quotas + team;
}

std::optional<amounts> granted_to(const quota_document& d, const quota_wish& wish)
{
    for (const auto& it : d.grants)
    {
        if (it.pool == wish.pool && it.owner == wish.owner)
        {
            return it.granted;
        }
    }
    return std::nullopt;
}

amounts smaller(const amounts& a, const amounts& b)
{
    return {std::min(a.processors, b.processors),
        std::min(a.memory_gb, b.memory_gb),
        std::min(a.accelerators, b.accelerators)};
}

amounts larger(const amounts& a, const amounts& b)
{
    return {std::max(a.processors, b.processors),
        std::max(a.memory_gb, b.memory_gb),
        std::max(a.accelerators, b.accelerators)};
}

bool adjust(quota_document& d, const quota_wish& wish, const amounts& quota)
{
    const amounts before = sum_of(d);
    quota_grant& own = grant_of(d, wish.pool);
    const quota_grant old = own;
    if (old.owner.epoch > wish.owner.epoch)
    {
        return false;
    }
    own.owner = wish.owner;
    own.wanted = smaller(wish.wanted, quota);
    const amounts others = before - own.granted;
    const amounts left = larger(quota - others, {});
    const amounts target = smaller(target_of(d, own, wish.in_use, quota), left);
    // What runs can't be taken back: after a quota was lowered the use stands until jobs end.
    own.granted = larger(target, smaller(wish.in_use, own.granted));
    core::require(
        fits(sum_of(d), larger(quota, before)), "a team's grants exceed its quota", d.team);
    return !(own.owner == old.owner) || !(own.granted == old.granted) || lacks(own) != lacks(old);
}

} // namespace camphorhitch::jobs
