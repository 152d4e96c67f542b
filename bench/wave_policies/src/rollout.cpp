#include "rollout.hpp"

#include "fleet/budget.hpp"
#include "fleet/wave_rules.hpp"

#include <algorithm>
#include <map>

namespace camphorhitch::bench
{

using fleet_sim::simulation;
using model::host_state;

namespace
{

constexpr std::int64_t tick_ms = 1000;
constexpr std::int64_t max_skip_ms = 120000;
constexpr double ms_per_hour = 3600000;
constexpr std::int64_t max_wave_ms = std::int64_t{60} * 24 * 3600000;
constexpr double disturbance_start_share = 0.3; ///< share of hosts that have been maintained
constexpr int hosts_lost = 2;
constexpr std::int64_t rack_down_ms = 1200000;

/// Tracks the number of hosts that each pool must hold in reserve: the policy's fixed buffer, or
/// the largest number of simultaneous planned absences without a borrowed host, whichever is more.
class reserve_tracker
{
public:
    void update(const simulation& sim, const measured_policy& policy)
    {
        for (const auto& view : sim.kv.pools)
        {
            const bool spare = fleet::is_spare_pool(sim.config, view.document.pool);
            const int planned = fleet::count_pool(view.document, sim.config).planned_absent;
            const int uncovered = planned - fleet::count_serving_borrowed(view.document);
            auto& max_reserved = max_reserved_[view.document.pool];
            max_reserved =
                spare ? 0 : std::max({max_reserved, policy.config.fixed_buffer, uncovered});
        }
    }

    int total() const
    {
        int n = 0;
        for (const auto& [pool, max_reserved] : max_reserved_)
        {
            n += max_reserved;
        }
        return n;
    }

private:
    std::map<std::string, int> max_reserved_;
};

/// \return whether a pool waits to receive or to return a borrowed host. No event of the platform
/// marks the end of such a wait.
bool waits_for_borrowed_hosts(const simulation& sim)
{
    const auto& timers = sim.members[0].timers;
    return std::any_of(timers.begin(),
        timers.end(),
        [](const auto& it)
        { return it.second.waiting_for_borrowed_since || it.second.surplus_since; });
}

/// \return the next time at which the state of the simulation can change.
std::int64_t next_event(const simulation& sim)
{
    const std::int64_t now = sim.platform.now_ms;
    if (waits_for_borrowed_hosts(sim))
    {
        return now + tick_ms;
    }
    std::int64_t next = now + max_skip_ms;
    const auto consider = [&](std::int64_t at)
    {
        next = at > now ? std::min(next, at) : next;
    };
    for (const auto& [id, h] : sim.platform.hosts)
    {
        if (h.up_at_ms)
        {
            consider(*h.up_at_ms);
        }
        if (!h.history.empty())
        {
            consider(h.history.back().at_ms + sim.platform.lag_ms);
        }
    }
    for (const auto& view : sim.kv.pools)
    {
        for (const auto& it : view.document.hosts)
        {
            if (it.state == host_state::draining)
            {
                const auto& h = sim.platform.hosts.at(it.id);
                std::for_each(h.requests.begin(), h.requests.end(), consider);
                std::for_each(h.jobs.begin(), h.jobs.end(), consider);
            }
        }
    }
    return next;
}

/// Gives every serving host a request in flight, as if it was sent just before a drain begins.
void add_requests_in_flight(simulation& sim, const work_settings& work)
{
    for (const auto& view : sim.kv.pools)
    {
        for (const auto& it : view.document.hosts)
        {
            auto& h = sim.platform.hosts.at(it.id);
            if (fleet::accepts_work(it) && h.up)
            {
                h.requests = {sim.platform.now_ms + work.max_request_ms / 2};
            }
        }
    }
}

/// Causes the disturbance when the configured share of hosts has been maintained, and repairs hosts
/// that stay down for longer than repair_ms.
class fault_injector
{
public:
    fault_injector(disturbance with, const work_settings& work) : with_(with), work_(work)
    {
    }

    void update(simulation& sim, double share_done)
    {
        if (with_ == disturbance::correlated && !caused_ && share_done >= disturbance_start_share)
        {
            inject(sim);
        }
        for (const auto& [id, h] : sim.platform.hosts)
        {
            const bool lost = !h.up && !h.up_at_ms;
            if (lost &&
                down_since_.emplace(id, sim.platform.now_ms).first->second + work_.repair_ms <=
                    sim.platform.now_ms)
            {
                to_repair_.push_back(id);
            }
        }
        for (const auto& id : to_repair_)
        {
            fleet_sim::repair(sim.platform, id);
            down_since_.erase(id);
        }
        to_repair_.clear();
    }

private:
    /// Crashes a rack with a host that the wave has not maintained yet, and makes the next hosts
    /// that reboot fail to return.
    void inject(simulation& sim)
    {
        caused_ = true;
        const auto& selected = sim.kv.waves[0].document.hosts;
        int lost = 0;
        for (const auto& id : selected)
        {
            const auto* record = fleet_sim::find_host(sim.kv, id);
            const bool waits = record != nullptr && record->last_wave.empty();
            if (waits && lost < hosts_lost)
            {
                sim.platform.hosts.at(id).returns = false;
                ++lost;
            }
        }
        const auto rack = sim.platform.hosts.at(selected.back()).rack;
        for (auto& [id, h] : sim.platform.hosts)
        {
            if (h.rack == rack && h.up)
            {
                fleet_sim::crash(sim.platform, id, rack_down_ms);
            }
        }
    }

    disturbance with_;
    work_settings work_;
    bool caused_ = false;
    std::map<std::string, std::int64_t> down_since_;
    std::vector<std::string> to_repair_;
};

void start(simulation& sim, const measured_policy& policy)
{
    auto& m = sim.members[0];
    fleet_sim::refresh(sim, m);
    for (int i = 0; i < 3; ++i)
    {
        // The policy sets up its buffer before the wave.
        fleet_sim::run_round(sim, m);
        fleet_sim::advance(sim.platform, tick_ms);
    }
    const auto out = fleet::start_wave({"w1", {}, policy.config.name, "c1"},
        sim.config,
        sim.kv.pools,
        {},
        core::from_unix_ms(sim.platform.now_ms));
    if (core::is_ok(out))
    {
        fleet_sim::put_wave(sim.kv, core::value(out).next, 0);
    }
}

/// \return the number of the initial jobs that outlast the roll-out; each has to move at least
/// once.
int count_jobs_outlasting(const std::vector<std::int64_t>& ends, std::int64_t last_reboot_ms)
{
    return static_cast<int>(std::count_if(
        ends.begin(), ends.end(), [&](std::int64_t it) { return it > last_reboot_ms; }));
}

std::vector<std::int64_t> job_end_times(const simulation& sim)
{
    std::vector<std::int64_t> out;
    for (const auto& [id, h] : sim.platform.hosts)
    {
        out.insert(out.end(), h.jobs.begin(), h.jobs.end());
    }
    return out;
}

/// Runs one round of the member.
/// \return the time until the next round, ms.
std::int64_t run_one_round(simulation& sim, const work_settings& work)
{
    const auto before = sim.kv.revision;
    add_requests_in_flight(sim, work);
    fleet_sim::run_round(sim, sim.members[0]);
    const std::int64_t tick_end = sim.platform.now_ms + tick_ms;
    const std::int64_t to =
        sim.kv.revision != before ? tick_end : std::max(tick_end, next_event(sim));
    return to - sim.platform.now_ms;
}

} // namespace

double roll_out_bound_h(const std::vector<pool_shape>& pools, int zones, std::int64_t reboot_ms)
{
    int reboot_rounds = 0;
    int hosts = 0;
    int at_once = 0;
    const auto rounds_of = [](int n, int max_absent)
    {
        return (n + max_absent - 1) / max_absent;
    };
    for (const auto& it : pools)
    {
        const int in_zone = rounds_of(it.hosts, zones); // hosts in the fullest zone
        const int max_absent = std::min(it.budget.absent, it.budget.absent_per_zone * zones);
        reboot_rounds = std::max(reboot_rounds, rounds_of(it.hosts, max_absent));
        reboot_rounds = std::max(reboot_rounds, rounds_of(in_zone, it.budget.absent_per_zone));
        hosts += it.hosts;
        at_once += max_absent;
    }
    reboot_rounds = std::max(reboot_rounds, rounds_of(hosts, at_once));
    return reboot_rounds * static_cast<double>(reboot_ms) / ms_per_hour;
}

rollout run_wave(const fleet_shape& shape,
    const measured_policy& policy,
    const work_settings& work,
    disturbance with)
{
    simulation sim;
    build(sim, shape, policy, work);
    start(sim, policy);
    rollout out;
    out.fleet = shape.name;
    out.policy = policy.name;
    out.with = with;
    out.hosts = count_hosts(shape);
    const auto jobs = job_end_times(sim);
    std::vector<pool_write> log;
    const auto checks = sim.kv.on_pool_write;
    sim.kv.on_pool_write =
        [&](const model::pool_document& before, const model::pool_document& after)
    {
        checks(before, after);
        log.push_back({sim.platform.now_ms, after.pool, changed_zones(before, after)});
    };
    const std::int64_t start_ms = sim.platform.now_ms;
    const std::int64_t writes_before = sim.kv.writes;
    fault_injector injector(with, work);
    reserve_tracker reserves;
    while (
        !fleet::is_ended(sim.kv.waves[0].document) && sim.platform.now_ms < start_ms + max_wave_ms)
    {
        const std::int64_t step = run_one_round(sim, work);
        reserves.update(sim, policy);
        fleet_sim::advance(sim.platform, step);
        out.done = fleet::summarize(sim.kv.waves[0].document, sim.kv.pools).done;
        injector.update(sim, static_cast<double>(out.done) / out.hosts);
    }
    const auto& wave = sim.kv.waves[0].document;
    out.ended = wave.phase == model::wave_phase::done;
    out.roll_out_h.value = static_cast<double>(sim.platform.now_ms - start_ms) / ms_per_hour;
    out.roll_out_h.bound =
        roll_out_bound_h(pools_beside_spares(shape, policy.spares), shape.zones, work.reboot_ms);
    out.buffer_hosts = {static_cast<double>(policy.spares + reserves.total()), 1};
    out.buffer_host_h.value = out.buffer_hosts.value * out.roll_out_h.value;
    out.buffer_host_h.bound = out.hosts * static_cast<double>(work.reboot_ms) / ms_per_hour;
    out.job_moves = {static_cast<double>(sim.job_moves),
        static_cast<double>(count_jobs_outlasting(jobs, sim.platform.now_ms - work.reboot_ms))};
    out.jobs_moved_again = sim.repeated_job_moves;
    out.host_moves = sim.kv.host_moves;
    out.writes = sim.kv.writes - writes_before;
    out.layout_costs = measure_layouts(sim.kv.pools, log);
    out.cut_off = sim.platform.cut_off;
    out.violations = sim.violations;
    return out;
}

} // namespace camphorhitch::bench
