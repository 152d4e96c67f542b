#include "rollout.hpp"

#include "fleet/budget.hpp"
#include "fleet/wave_rules.hpp"

#include <algorithm>
#include <map>

namespace camphorhitch::bench
{

using fleet_sim::world;
using model::host_state;

namespace
{

constexpr std::int64_t tick_ms = 1000;
constexpr std::int64_t longest_skip_ms = 120000;
constexpr double ms_per_hour = 3600000;
constexpr std::int64_t give_up_ms = std::int64_t{60} * 24 * 3600000;
constexpr double trouble_after = 0.3; ///< share of hosts through
constexpr int hosts_lost = 2;
constexpr std::int64_t rack_down_ms = 1200000;

/// Hosts that each pool must hold back for itself: what the policy reserves, or what was absent by
/// plan at once with no guest in its place, whichever is more.
class reserve_book
{
public:
    void note(const world& w, const measured_policy& policy)
    {
        for (const auto& view : w.kv.pools)
        {
            const bool spare = fleet::is_spare_pool(w.config, view.document.pool);
            const int planned = fleet::count_pool(view.document, w.config).planned_absent;
            const int uncovered = planned - fleet::count_serving_borrowed(view.document);
            auto& most = most_[view.document.pool];
            most = spare ? 0 : std::max({most, policy.config.fixed_buffer, uncovered});
        }
    }

    int total() const
    {
        int n = 0;
        for (const auto& [pool, most] : most_)
        {
            n += most;
        }
        return n;
    }

private:
    std::map<std::string, int> most_;
};

/// Whether a pool waits for a guest to come or to be sent on, which nothing else tells of.
bool waits_for_guests(const world& w)
{
    const auto& memory = w.members[0].memory;
    return std::any_of(memory.begin(),
        memory.end(),
        [](const auto& it)
        { return it.second.waiting_for_borrowed_since || it.second.surplus_since; });
}

/// The next moment at which anything can be seen to happen.
std::int64_t next_event(const world& w)
{
    const std::int64_t now = w.platform.now_ms;
    if (waits_for_guests(w))
    {
        return now + tick_ms;
    }
    std::int64_t next = now + longest_skip_ms;
    const auto consider = [&](std::int64_t at)
    {
        next = at > now ? std::min(next, at) : next;
    };
    for (const auto& [id, h] : w.platform.hosts)
    {
        if (h.up_at_ms)
        {
            consider(*h.up_at_ms);
        }
        if (!h.history.empty())
        {
            consider(h.history.back().at_ms + w.platform.lag_ms);
        }
    }
    for (const auto& view : w.kv.pools)
    {
        for (const auto& it : view.document.hosts)
        {
            if (it.state == host_state::draining)
            {
                const auto& h = w.platform.hosts.at(it.id);
                std::for_each(h.requests.begin(), h.requests.end(), consider);
                std::for_each(h.jobs.begin(), h.jobs.end(), consider);
            }
        }
    }
    return next;
}

/// Every serving host has requests in flight that were sent just before a drain begins.
void keep_requests(world& w, const work_settings& work)
{
    for (const auto& view : w.kv.pools)
    {
        for (const auto& it : view.document.hosts)
        {
            auto& h = w.platform.hosts.at(it.id);
            if (fleet::accepts_work(it) && h.up)
            {
                h.requests = {w.platform.now_ms + work.longest_request_ms / 2};
            }
        }
    }
}

/// Causes the trouble once its time has come, and repairs what failed after a while.
class troublemaker
{
public:
    troublemaker(trouble with, const work_settings& work) : with_(with), work_(work)
    {
    }

    void act(world& w, double share_done)
    {
        if (with_ == trouble::correlated && !caused_ && share_done >= trouble_after)
        {
            cause(w);
        }
        for (const auto& [id, h] : w.platform.hosts)
        {
            const bool lost = !h.up && !h.up_at_ms;
            if (lost &&
                down_since_.emplace(id, w.platform.now_ms).first->second + work_.repair_ms <=
                    w.platform.now_ms)
            {
                to_repair_.push_back(id);
            }
        }
        for (const auto& id : to_repair_)
        {
            fleet_sim::repair(w.platform, id);
            down_since_.erase(id);
        }
        to_repair_.clear();
    }

private:
    /// A rack with a host that waits for its turn fails; the next hosts to reboot don't return.
    void cause(world& w)
    {
        caused_ = true;
        const auto& selected = w.kv.waves[0].document.hosts;
        int lost = 0;
        for (const auto& id : selected)
        {
            const auto* record = fleet_sim::find_host(w.kv, id);
            const bool waits = record != nullptr && record->last_wave.empty();
            if (waits && lost < hosts_lost)
            {
                w.platform.hosts.at(id).returns = false;
                ++lost;
            }
        }
        const auto rack = w.platform.hosts.at(selected.back()).rack;
        for (auto& [id, h] : w.platform.hosts)
        {
            if (h.rack == rack && h.up)
            {
                fleet_sim::crash(w.platform, id, rack_down_ms);
            }
        }
    }

    trouble with_;
    work_settings work_;
    bool caused_ = false;
    std::map<std::string, std::int64_t> down_since_;
    std::vector<std::string> to_repair_;
};

void start(world& w, const measured_policy& policy)
{
    auto& m = w.members[0];
    fleet_sim::refresh(w, m);
    for (int i = 0; i < 3; ++i)
    {
        // A policy puts its buffer in place before the wave.
        fleet_sim::run_round(w, m);
        fleet_sim::advance(w.platform, tick_ms);
    }
    const auto out = fleet::start_wave({"w1", {}, policy.config.name, "c1"},
        w.config,
        w.kv.pools,
        {},
        core::from_unix_ms(w.platform.now_ms));
    if (core::is_ok(out))
    {
        fleet_sim::put_wave(w.kv, core::value(out).next, 0);
    }
}

/// Jobs of the start that outlast the roll-out: each has to move once at least.
int jobs_that_outlast(const std::vector<std::int64_t>& ends, std::int64_t last_turn_ms)
{
    return static_cast<int>(std::count_if(
        ends.begin(), ends.end(), [&](std::int64_t it) { return it > last_turn_ms; }));
}

std::vector<std::int64_t> ends_of_jobs(const world& w)
{
    std::vector<std::int64_t> out;
    for (const auto& [id, h] : w.platform.hosts)
    {
        out.insert(out.end(), h.jobs.begin(), h.jobs.end());
    }
    return out;
}

/// One round of the member and the time until the next. \return that time.
std::int64_t one_round(world& w, const work_settings& work)
{
    const auto before = w.kv.revision;
    keep_requests(w, work);
    fleet_sim::run_round(w, w.members[0]);
    const std::int64_t tick_end = w.platform.now_ms + tick_ms;
    const std::int64_t to = w.kv.revision != before ? tick_end : std::max(tick_end, next_event(w));
    return to - w.platform.now_ms;
}

} // namespace

double roll_out_bound_h(const std::vector<pool_shape>& pools, int zones, std::int64_t reboot_ms)
{
    int turns = 0;
    int hosts = 0;
    int at_once = 0;
    const auto turns_of = [](int n, int most)
    {
        return (n + most - 1) / most;
    };
    for (const auto& it : pools)
    {
        const int in_zone = turns_of(it.hosts, zones); // in the fullest one
        const int most = std::min(it.budget.absent, it.budget.absent_per_zone * zones);
        turns = std::max(turns, turns_of(it.hosts, most));
        turns = std::max(turns, turns_of(in_zone, it.budget.absent_per_zone));
        hosts += it.hosts;
        at_once += most;
    }
    turns = std::max(turns, turns_of(hosts, at_once));
    return turns * static_cast<double>(reboot_ms) / ms_per_hour;
}

rollout run_wave(const fleet_shape& shape,
    const measured_policy& policy,
    const work_settings& work,
    trouble with)
{
    world w;
    build(w, shape, policy, work);
    start(w, policy);
    rollout out;
    out.fleet = shape.name;
    out.policy = policy.name;
    out.with = with;
    out.hosts = count_hosts(shape);
    const auto jobs = ends_of_jobs(w);
    std::vector<pool_write> log;
    const auto checks = w.kv.on_pool_write;
    w.kv.on_pool_write = [&](const model::pool_document& before, const model::pool_document& after)
    {
        checks(before, after);
        log.push_back({w.platform.now_ms, after.pool, changed_zones(before, after)});
    };
    const std::int64_t began_ms = w.platform.now_ms;
    const std::int64_t writes_before = w.kv.writes;
    troublemaker troubles(with, work);
    reserve_book reserves;
    while (!fleet::is_ended(w.kv.waves[0].document) && w.platform.now_ms < began_ms + give_up_ms)
    {
        const std::int64_t step = one_round(w, work);
        reserves.note(w, policy);
        fleet_sim::advance(w.platform, step);
        out.done = fleet::summarize(w.kv.waves[0].document, w.kv.pools).done;
        troubles.act(w, static_cast<double>(out.done) / out.hosts);
    }
    const auto& wave = w.kv.waves[0].document;
    out.ended = wave.phase == model::wave_phase::done;
    out.roll_out_h.value = static_cast<double>(w.platform.now_ms - began_ms) / ms_per_hour;
    out.roll_out_h.bound =
        roll_out_bound_h(pools_beside_spares(shape, policy.spares), shape.zones, work.reboot_ms);
    out.buffer_hosts = {static_cast<double>(policy.spares + reserves.total()), 1};
    out.buffer_host_h.value = out.buffer_hosts.value * out.roll_out_h.value;
    out.buffer_host_h.bound = out.hosts * static_cast<double>(work.reboot_ms) / ms_per_hour;
    out.job_moves = {static_cast<double>(w.job_moves),
        static_cast<double>(jobs_that_outlast(jobs, w.platform.now_ms - work.reboot_ms))};
    out.jobs_moved_again = w.job_moves_again;
    out.host_moves = w.kv.host_moves;
    out.writes = w.kv.writes - writes_before;
    out.cuts = cost_of_cuts(w.kv.pools, log);
    out.cut_off = w.platform.cut_off;
    out.violations = w.violations;
    return out;
}

} // namespace camphorhitch::bench
