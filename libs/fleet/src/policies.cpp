#include "fleet/policies.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace camphorhitch::fleet
{

using model::policy_config;
using model::policy_kind;

namespace
{

constexpr int unlimited = std::numeric_limits<int>::max();

/// Room that a pool keeps in its budget for a failure while a host is away by plan.
constexpr int failure_room = 1;

/// Keeps a fast growth from overflowing; far above any fleet.
constexpr int largest_sensible_batch = 100'000;

int at_most_largest(const policy_config& p, int n)
{
    return p.largest_batch > 0 ? std::min(n, p.largest_batch) : n;
}

int no_limit(const policy_config&, const pool_need&)
{
    return unlimited;
}

int none(const policy_config&, const pool_need&)
{
    return 0;
}

int one(const policy_config&, const pool_need&)
{
    return 1;
}

// ---- one_by_one ----

int window_of_one(const policy_config& p, const wave_progress&)
{
    return std::max(1, p.largest_batch);
}

/// A fixed buffer stands in each pool and serves while hosts are absent. One host always serves.
int fixed_buffer(const policy_config& p, const pool_need& n)
{
    const int absent = n.planned_absent + n.failed;
    return std::clamp(p.fixed_buffer - absent, 0, std::max(0, n.hosts - absent - 1));
}

// ---- least_buffer ----

/// No more at once than spare hosts can stand in for: a batch larger than that would need more of
/// them, and they would idle for the rest of the time.
int window_of_spares(const policy_config& p, const wave_progress& w)
{
    const int covered = std::max(1, w.spares);
    return at_most_largest(p, std::min(covered, batch_after(p, w.done)));
}

/// A guest for each planned absence, so that no pool needs a buffer of its own, and more where
/// failures would exceed the budget. Guests stay while waves are at work on the pool: each moves
/// once.
int guests_for_absences(const policy_config&, const pool_need& n)
{
    const bool at_work = n.planned_absent > 0 || (n.admitted > 0 && n.unfinished > 0);
    if (!at_work)
    {
        return std::max(0, n.failed - n.budget);
    }
    const int planned = std::max(1, n.planned_absent);
    return std::max(planned, n.failed + planned + failure_room - n.budget);
}

// ---- fastest ----

int window_after_canary(const policy_config& p, const wave_progress& w)
{
    return canary_passed(p, w) ? at_most_largest(p, unlimited) : std::max(1, p.canary);
}

constexpr wave_policy policies[] = {
    {policy_kind::one_by_one, wave_order::zone_by_zone, window_of_one, one, none, fixed_buffer},
    {policy_kind::least_buffer,
        wave_order::pool_by_pool,
        window_of_spares,
        no_limit,
        guests_for_absences,
        none},
    {policy_kind::fastest, wave_order::all_at_once, window_after_canary, no_limit, none, none},
};

} // namespace

const wave_policy& policy_of(policy_kind kind)
{
    for (const auto& it : policies)
    {
        if (it.kind == kind)
        {
            return it;
        }
    }
    core::require(false, "every kind of policy has its row");
    return policies[0];
}

int batch_after(const policy_config& p, int done)
{
    int batch = std::max(1, p.canary);
    int through = batch;
    while (through <= done)
    {
        const double grown = std::ceil(batch * std::max(1.0, p.growth));
        batch = static_cast<int>(std::min<double>(grown, largest_sensible_batch));
        through += batch;
    }
    return at_most_largest(p, batch);
}

policy_config policy_in_force(
    const model::configuration& c, const std::string& pool, const std::string& override_name)
{
    if (const auto* p = model::find_policy(c, override_name))
    {
        return *p;
    }
    const auto* of_pool = model::find_pool(c, pool);
    const auto* p = of_pool ? model::find_policy(c, of_pool->policy) : nullptr;
    if (p != nullptr)
    {
        return *p;
    }
    policy_config out;
    out.fixed_buffer = 0;
    return out;
}

bool canary_passed(const policy_config& p, const wave_progress& w)
{
    return w.done >= std::min(std::max(1, p.canary), w.hosts);
}

} // namespace camphorhitch::fleet
