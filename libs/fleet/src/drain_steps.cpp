// Applies the live list and time-outs, undoes drains, and advances drains.
#include "fleet/budget.hpp"
#include "pool_steps.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::drain_purpose;
using model::host_record;
using model::host_state;
using ports::live_state;

namespace
{

bool is_reboot_certain(const pool_update& d, const std::string& host)
{
    const auto it = d.timers.hosts.find(host);
    const bool taken = it != d.timers.hosts.end() && it->second.reboot_acknowledged.has_value();
    return taken && d.in.now - *it->second.reboot_acknowledged >= d.in.settings.live_list_lag;
}

pool_event event_for(const pool_update& d, const ports::live_host& entry)
{
    switch (entry.state)
    {
    case live_state::down:
        return host_down{entry.id, entry.boot_count};
    case live_state::leaving:
        return host_leaving{entry.id, entry.boot_count};
    case live_state::live:
        break;
    }
    return host_live{entry.id, entry.boot_count, is_reboot_certain(d, entry.id)};
}

/// \return the host whose drain is undone first: the host that has drained for the shortest time.
const host_record* newest_undoable(const model::pool_document& d)
{
    const host_record* best = nullptr;
    for (const auto& it : d.hosts)
    {
        if (is_undoable(it) && (best == nullptr || it.since_ms >= best->since_ms))
        {
            best = &it;
        }
    }
    return best;
}

/// A failure may use up the budget that planned drains were started within. Drains that have not
/// been handed over are undone until the budget holds or no drain can be undone any more.
void undo_drains_over_budget(pool_update& d)
{
    const auto budget = budget_of(d.in.config, d.next.pool);
    while (budget && !is_within_budget(count_absences(d.next), *budget))
    {
        const auto* h = newest_undoable(d.next);
        if (h == nullptr)
        {
            return;
        }
        const std::string id = h->id;
        apply_step(d, undo_drain{id, "budget_used_up", describe_absences(d.next, budget)});
    }
}

/// Undoes drains of waves that halted, ended or no longer exist. While the waves have not been
/// read, no drain is undone.
void undo_drains_of_stopped_waves(pool_update& d)
{
    for (const auto& id : host_ids(d))
    {
        const auto* h = model::find_host(d.next, id);
        if (h->wave.empty() || !is_undoable(*h) || !d.in.waves_known)
        {
            continue;
        }
        const std::string wave = h->wave;
        const auto it = std::find_if(d.in.waves.begin(),
            d.in.waves.end(),
            [&](const wave_view& w) { return w.document.id == wave; });
        if (it == d.in.waves.end())
        {
            apply_step(d, undo_drain{id, "wave_gone", "wave " + wave + " is gone"});
        }
        else if (!is_active(it->document))
        {
            const auto phase = name_of(model::wave_phase_names, it->document.phase);
            apply_step(
                d, undo_drain{id, "wave_stopped", "wave " + wave + " is " + std::string{phase}});
        }
    }
}

} // namespace

void apply_live_list(pool_update& d)
{
    if (!d.in.live.known)
    {
        return;
    }
    for (const auto& it : d.in.live.hosts)
    {
        if (model::find_host(d.next, it.id) != nullptr)
        {
            apply_step(d, event_for(d, it));
        }
    }
}

void fail_overdue_reboots(pool_update& d)
{
    const auto p = managing_policy(d.next, d.in.waves, d.in.config);
    for (const auto& id : host_ids(d))
    {
        const auto* h = model::find_host(d.next, id);
        const auto& timer = d.timers.hosts[id];
        if (h->state == host_state::rebooting && timer.state == host_state::rebooting &&
            d.in.now - timer.since >= p.return_timeout)
        {
            apply_step(d, return_timeout{id, timer.command});
        }
    }
}

void undo_stopped_drains(pool_update& d)
{
    undo_drains_of_stopped_waves(d);
    undo_drains_over_budget(d);
}

void advance_drains(pool_update& d)
{
    for (const auto& id : host_ids(d))
    {
        // This uses the written state, not the state in d.next: a drain that is only about to be
        // written has not stopped any member from sending, so the work in flight now does not show
        // that the host is drained.
        const auto* written = model::find_host(d.in.own.document, id);
        const bool draining = written != nullptr && written->state == host_state::draining;
        if (draining && is_certainly_idle(activity_of(d.in, id)))
        {
            apply_step(d, confirm_drained{id});
        }
        if (written != nullptr && is_pending_removal(*written) &&
            is_certainly_idle(activity_of(d.in, id)))
        {
            apply_step(d, remove_failed_host{id, is_confirmed_exclusive(d, id)});
            continue;
        }
        apply_step(d, hand_over{id});
        const auto* h = model::find_host(d.next, id);
        if (h->state == host_state::drained && h->purpose == drain_purpose::move)
        {
            apply_step(d, release_host{id, is_confirmed_exclusive(d, id)});
        }
    }
}

} // namespace camphorhitch::fleet
