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

/// Number of hosts by which a pool keeps its budget free for failures during a planned absence.
constexpr int failure_headroom = 1;

/// Upper bound of a batch in hosts. It is far above the size of any fleet and keeps fast growth
/// from overflowing.
constexpr int max_batch = 100'000;

int cap_at_largest_batch(const policy_config& p, int n)
{
    return p.largest_batch > 0 ? std::min(n, p.largest_batch) : n;
}

int no_limit(const policy_config&, const pool_counts&)
{
    return unlimited;
}

int none(const policy_config&, const pool_counts&)
{
    return 0;
}

int one(const policy_config&, const pool_counts&)
{
    return 1;
}

// ---- one_by_one ----

int one_host_window(const policy_config& p, const wave_progress&)
{
    return std::max(1, p.largest_batch);
}

/// Each pool holds a fixed number of spare hosts, which serve while other hosts are absent. At
/// least one host always serves.
int fixed_buffer(const policy_config& p, const pool_counts& n)
{
    const int absent = n.planned_absent + n.failed;
    return std::clamp(p.fixed_buffer - absent, 0, std::max(0, n.hosts - absent - 1));
}

// ---- least_buffer ----

/// Limits the hosts in progress to the number of spare hosts that can replace them. A larger batch
/// would need more spare hosts, which would idle for the rest of the time.
int spare_host_window(const policy_config& p, const wave_progress& w)
{
    const int covered = std::max(1, w.spares);
    return cap_at_largest_batch(p, std::min(covered, batch_after(p, w.done)));
}

/// One borrowed host for each planned absence, so that no pool needs a buffer of its own, and more
/// when failures would exceed the budget. The pool keeps its borrowed hosts as long as waves
/// maintain the pool, so that each borrowed host moves only once.
int borrowed_for_absences(const policy_config&, const pool_counts& n)
{
    const bool at_work = n.planned_absent > 0 || (n.admitted > 0 && n.unfinished > 0);
    if (!at_work)
    {
        return std::max(0, n.failed - n.budget);
    }
    const int planned = std::max(1, n.planned_absent);
    return std::max(planned, n.failed + planned + failure_headroom - n.budget);
}

// ---- fastest ----

int window_after_canary(const policy_config& p, const wave_progress& w)
{
    return canary_passed(p, w) ? cap_at_largest_batch(p, unlimited) : std::max(1, p.canary);
}

constexpr wave_policy policies[] = {
    {policy_kind::one_by_one, wave_order::zone_by_zone, one_host_window, one, none, fixed_buffer},
    {policy_kind::least_buffer,
        wave_order::pool_by_pool,
        spare_host_window,
        no_limit,
        borrowed_for_absences,
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
        batch = static_cast<int>(std::min<double>(grown, max_batch));
        through += batch;
    }
    return cap_at_largest_batch(p, batch);
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
