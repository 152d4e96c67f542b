// News, timeouts, undoing, and the drains that go on.
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

bool is_reboot_certain(const draft& d, const std::string& host)
{
    const auto it = d.memory.hosts.find(host);
    const bool taken = it != d.memory.hosts.end() && it->second.reboot_acknowledged.has_value();
    return taken && d.in.now - *it->second.reboot_acknowledged >= d.in.settings.live_list_lag;
}

pool_event news_of(const draft& d, const ports::live_host& entry)
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

/// The host whose drain is undone first: the one that has drained for the shortest time.
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

/// A failure may use up a budget that planned drains were started within. Those that are not
/// handed over yet are undone, until the budget holds or nothing is left to undo.
void undo_over_budget(draft& d)
{
    const auto budget = budget_of(d.in.config, d.next.pool);
    while (budget && !within(count_absences(d.next), *budget))
    {
        const auto* h = newest_undoable(d.next);
        if (h == nullptr)
        {
            return;
        }
        const std::string id = h->id;
        step(d, undo_drain{id, "budget_used_up", describe_absences(d.next, budget)});
    }
}

/// A wave that halted, ended or is gone drains nothing more. One that is merely not known yet does.
void undo_of_stopped_waves(draft& d)
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
            step(d, undo_drain{id, "wave_gone", "wave " + wave + " is gone"});
        }
        else if (!is_active(it->document))
        {
            const auto phase = name_of(model::wave_phase_names, it->document.phase);
            step(d, undo_drain{id, "wave_stopped", "wave " + wave + " is " + std::string{phase}});
        }
    }
}

} // namespace

void take_live_news(draft& d)
{
    if (!d.in.live.known)
    {
        return;
    }
    for (const auto& it : d.in.live.hosts)
    {
        if (model::find_host(d.next, it.id) != nullptr)
        {
            step(d, news_of(d, it));
        }
    }
}

void take_timeouts(draft& d)
{
    const auto p = managing_policy(d.next, d.in.waves, d.in.config);
    for (const auto& id : host_ids(d))
    {
        const auto* h = model::find_host(d.next, id);
        const auto& timer = d.memory.hosts[id];
        if (h->state == host_state::rebooting && timer.state == host_state::rebooting &&
            d.in.now - timer.since >= p.return_timeout)
        {
            step(d, return_timeout{id, timer.command});
        }
    }
}

void undo_what_must_not_go_on(draft& d)
{
    undo_of_stopped_waves(d);
    undo_over_budget(d);
}

void advance_drains(draft& d)
{
    for (const auto& id : host_ids(d))
    {
        // The state that is written, not the draft's: a drain that is only about to be written has
        // not stopped anybody, so what is in flight now says nothing about it.
        const auto* written = model::find_host(d.in.own.document, id);
        const bool draining = written != nullptr && written->state == host_state::draining;
        if (draining && is_quiet(activity_of(d.in, id)))
        {
            step(d, confirm_quiet{id});
        }
        if (written != nullptr && is_to_be_dropped(*written) && is_quiet(activity_of(d.in, id)))
        {
            step(d, drop_host{id, is_settled(d, id)});
            continue;
        }
        step(d, hand_over{id});
        const auto* h = model::find_host(d.next, id);
        if (h->state == host_state::drained && h->purpose == drain_purpose::move)
        {
            step(d, release_host{id, is_settled(d, id)});
        }
    }
}

} // namespace camphorhitch::fleet
