#include "fleet/pool_decider.hpp"

#include "fleet/budget.hpp"
#include "pool_steps.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::host_record;
using model::host_state;

namespace
{

/// Restarts the timer of each host whose state or command changed, and removes the timers of hosts
/// that left the pool.
void update_timers(const pool_inputs& in, pool_timers& m)
{
    std::map<std::string, host_timer> next;
    for (const auto& it : in.own.document.hosts)
    {
        const auto known = m.hosts.find(it.id);
        const bool same_turn = known != m.hosts.end() && known->second.command == it.command;
        host_timer timer =
            same_turn ? known->second : host_timer{it.state, it.command, in.now, {}, {}};
        if (timer.state != it.state)
        {
            timer.state = it.state;
            timer.since = in.now;
            timer.reported.reset();
        }
        next.emplace(it.id, std::move(timer));
    }
    m.hosts = std::move(next);
}

void drain_actions(const pool_inputs& in,
    const host_record& h,
    const model::policy_config& p,
    host_timer& timer,
    std::vector<pool_action>& out)
{
    const auto activity = activity_of(in, h.id);
    const auto elapsed = std::chrono::duration_cast<core::millis>(in.now - timer.since);
    if (activity.jobs > 0)
    {
        out.emplace_back(move_jobs_off{h.id, std::max(core::millis{0}, p.drain_timeout - elapsed)});
    }
    const auto last = timer.reported.value_or(core::mono_time{});
    const bool again = !timer.reported || in.now - last >= in.settings.drain_report_interval;
    if (elapsed >= p.drain_timeout && again)
    {
        timer.reported = in.now;
        out.emplace_back(report_slow_drain{h.id,
            "drains for " + std::to_string(elapsed.count()) + " ms: " +
                std::to_string(activity.requests) + " requests, " + std::to_string(activity.jobs) +
                " jobs" + (activity.certain ? "" : ", not certain yet")});
    }
}

/// Adds the actions that the document as written calls for. Changes that this decision is about to
/// write cause no action before they are written.
void actions_for_written_document(
    const pool_inputs& in, pool_timers& m, std::vector<pool_action>& out)
{
    const auto& d = in.own.document;
    const auto p = managing_policy(d, in.waves, in.config);
    for (const auto& it : d.hosts)
    {
        auto& timer = m.hosts[it.id];
        if (!accepts_work(it))
        {
            out.emplace_back(stop_host{it.id});
        }
        if (it.state == host_state::draining)
        {
            drain_actions(in, it, p, timer, out);
        }
        if (reboot_pending(it) && !timer.reboot_acknowledged)
        {
            out.emplace_back(order_reboot{it.id, it.command});
        }
    }
}

} // namespace

live_list_index::live_list_index(const ports::live_list& all) : known_(all.known)
{
    for (const auto& it : all.hosts)
    {
        hosts_.emplace(it.id, it);
    }
}

ports::live_list live_list_index::of(const model::pool_document& d) const
{
    ports::live_list out;
    out.known = known_;
    for (const auto& it : d.hosts)
    {
        const auto found = hosts_.find(it.id);
        if (found != hosts_.end())
        {
            out.hosts.push_back(found->second);
        }
    }
    return out;
}

bool is_certainly_idle(const host_activity& a)
{
    return a.stopped && a.certain && a.requests == 0 && a.jobs == 0;
}

void record_reboot_acknowledged(
    pool_timers& m, const std::string& host, const std::string& command, core::mono_time now)
{
    const auto it = m.hosts.find(host);
    if (it != m.hosts.end() && it->second.command == command && !it->second.reboot_acknowledged)
    {
        it->second.reboot_acknowledged = now;
    }
}

bool apply_step(pool_update& d, const pool_event& e)
{
    const auto out = apply(d.next, e, rule_context{d.in.config, d.in.wall_now});
    const bool done = core::is_ok(out) && core::value(out).changed;
    if (done)
    {
        d.notes.push_back(core::value(out).note);
    }
    return done;
}

host_activity activity_of(const pool_inputs& in, const std::string& host)
{
    const auto it = std::find_if(in.activity.begin(),
        in.activity.end(),
        [&](const host_activity& a) { return a.host == host; });
    return it == in.activity.end() ? host_activity{} : *it;
}

bool is_confirmed_exclusive(const pool_update& d, const std::string& host)
{
    return is_confirmed_exclusive(host, d.next.pool, d.in.own.revision, d.in.others);
}

std::vector<std::string> host_ids(const pool_update& d)
{
    std::vector<std::string> out;
    out.reserve(d.next.hosts.size());
    for (const auto& it : d.next.hosts)
    {
        out.push_back(it.id);
    }
    return out;
}

std::vector<pool_action> decide_pool(const pool_inputs& in, pool_timers& timers)
{
    update_timers(in, timers);
    std::vector<pool_action> out;
    actions_for_written_document(in, timers, out);
    pool_update d{in, timers, in.own.document, {}};
    apply_live_list(d);
    fail_overdue_reboots(d);
    undo_stopped_drains(d);
    advance_drains(d);
    exchange_hosts(d);
    reassign_surplus_hosts(d);
    lend_spare_hosts(d);
    start_wave_drains(d);
    adjust_held_hosts(d);
    if (!d.notes.empty())
    {
        out.emplace_back(write_pool{std::move(d.next), in.own.revision, std::move(d.notes)});
    }
    return out;
}

} // namespace camphorhitch::fleet
