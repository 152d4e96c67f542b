#include "coordinator/waves.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"
#include "restarts.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

/// A machine that may be maintained next.
struct candidate
{
    std::string machine;
    host_entry* host = nullptr; ///< nullptr: no runner is known on the machine
    int long_running = 0;
};

bool is_maintained_before(const candidate& a, const candidate& b)
{
    const auto key = [](const candidate& it)
    {
        const bool closed = it.host == nullptr || it.host->availability != host_availability::open;
        const std::int64_t used = it.host == nullptr ? 0 : it.host->used.cpu;
        return std::tuple(!closed, it.long_running, used);
    };
    return key(a) < key(b);
}

std::vector<candidate> find_candidates(fleet& f, const wave& w, const machine_table& list)
{
    std::vector<candidate> out;
    for (const auto& id : w.machines)
    {
        const auto* const m = find_machine(list, id);
        const bool open = m != nullptr && !w.started_machines.contains(id) &&
                          !w.pending_orders.contains(id) && !list.moving.contains(id);
        if (!open || m->state != ports::machine_state::up)
        {
            continue;
        }
        candidate it{id, find_runner(f, m->runner), 0};
        if (it.host != nullptr && it.host->draining)
        {
            continue; // it refuses the order, and leaves the wave with its machine
        }
        it.long_running = it.host == nullptr ? 0 : long_running_tasks(f, *it.host);
        out.push_back(it);
    }
    std::stable_sort(out.begin(), out.end(), is_maintained_before);
    return out;
}

int count_absent_machines(const wave& w, const machine_table& list)
{
    int n = 0;
    for (const auto& id : w.machines)
    {
        const auto* const m = find_machine(list, id);
        const bool away = m != nullptr && m->state != ports::machine_state::up;
        n += away || w.pending_orders.contains(id) || w.down_since.contains(id) ? 1 : 0;
    }
    return n;
}

/// Returns whether the host is needed at present: it runs something, or its pool has no host to
/// give away. While there is time, only hosts that are not needed go down: machines that are
/// switched off, and idle hosts of pools with hosts to give away.
bool is_needed(const candidate& it, const machine_table& list)
{
    return it.host != nullptr &&
           (!is_empty(*it.host) || list.pools_without_spare.contains(it.host->pool));
}

/// \return the number of rounds in which long-running tasks must leave one after the other until
/// the candidates run none, because a step allows only max_unavailable absent tasks at once.
int evacuation_rounds(const fleet& f, const std::vector<candidate>& all)
{
    std::map<std::pair<std::string, int>, int> tasks; ///< by job and step
    int rounds = 0;
    for (const auto& it : all)
    {
        if (it.host == nullptr)
        {
            continue;
        }
        for (const auto& [text, name] : it.host->runs)
        {
            const auto& j = *f.jobs.at(name.job);
            const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
            if (s.long_running && s.max_unavailable > 0)
            {
                const int n = ++tasks[{name.job, name.step}];
                rounds = std::max(rounds, (n + s.max_unavailable - 1) / s.max_unavailable);
            }
        }
    }
    return rounds;
}

/// \return the estimated time for the remaining machines of the wave, with time_per_host for each
/// of its max_at_once places.
core::millis remaining_wave_time(const wave& w, std::size_t left, const wave_settings& s)
{
    const auto rounds =
        (static_cast<std::int64_t>(left) + w.max_at_once - 1) / std::max(w.max_at_once, 1);
    return rounds * s.time_per_host + s.schedule_reserve;
}

/// Which hosts one plan may close.
struct wave_urgency
{
    bool is_late = false;     ///< the wave would end late: all remaining hosts may be closed
    bool evacuates = false;   ///< hosts may also be closed to evacuate their long-running tasks
    int closed_for_tasks = 0; ///< bound of the hosts closed for that reason at the same time
};

wave_urgency evaluate_urgency(const fleet& f,
    const wave& w,
    const std::vector<candidate>& all,
    const wave_settings& s,
    core::mono_time now)
{
    wave_urgency out;
    const auto ends = now + remaining_wave_time(w, all.size(), s);
    const int rounds = evacuation_rounds(f, all);
    out.is_late = ends > w.due;
    out.evacuates = ends + rounds * s.evacuation_time > w.due;
    const auto with_tasks = std::count_if(
        all.begin(), all.end(), [](const candidate& it) { return it.long_running > 0; });
    out.closed_for_tasks = (static_cast<int>(with_tasks) + rounds - 1) / std::max(rounds, 1);
    return out;
}

void close_host(
    const wave& w, host_entry& h, const std::string& machine, core::mono_time now, task_events& out)
{
    if (h.availability != host_availability::open)
    {
        return;
    }
    h.availability = host_availability::closed_for_maintenance;
    h.closed_at = now;
    out.push_back({"host_closed",
        "",
        0,
        h.ref.id,
        "wave=" + std::to_string(w.number) + " machine=" + machine +
            " runs=" + std::to_string(h.runs.size())});
}

host_entry* host_of_machine(fleet& f, const machine_table& list, const std::string& machine)
{
    const auto* const m = find_machine(list, machine);
    return m == nullptr ? nullptr : find_runner(f, m->runner);
}

/// \param chosen incarnation, or a runner's id if its incarnation was unknown
bool may_be_incarnation(const std::string& chosen, const std::string& host)
{
    return ports::read_incarnation(chosen).born_ms == 0 ? ports::is_same_runner(chosen, host)
                                                        : chosen == host;
}

void reopen_host(host_entry* h)
{
    if (h != nullptr && h->availability == host_availability::closed_for_maintenance)
    {
        h->availability = host_availability::open;
    }
}

} // namespace

/// A machine that the list doesn't show has left. This holds only for a list that was requested
/// after the wave's request was read: an older one may lack a machine that was new then, and the
/// operators would be told that the wave is completed. A list requested later shows each machine
/// that stays.
bool update_wave(wave& w, const machine_table& list, const wave_settings& s)
{
    std::erase_if(w.down_since,
        [&](const auto& it)
        {
            const auto* const m = find_machine(list, it.first);
            const bool back = m == nullptr || m->state == ports::machine_state::up;
            return back && list.requested_at > it.second + s.list_lag;
        });
    const bool knows_all = list.known && list.requested_at > w.request_read_at + s.list_lag;
    const bool all = std::all_of(w.machines.begin(),
        w.machines.end(),
        [&](const std::string& id) {
            return w.started_machines.contains(id) ||
                   (knows_all && find_machine(list, id) == nullptr);
        });
    const bool now_completed = list.known && all && !w.completed;
    w.completed = w.completed || now_completed;
    return now_completed;
}

void reopen_maintained_hosts(fleet& f, const wave& w, const machine_table& list)
{
    for (const auto& id : w.started_machines)
    {
        const auto* const m = find_machine(list, id);
        const bool back = m != nullptr && m->state == ports::machine_state::up;
        if (back && !w.pending_orders.contains(id) && !w.down_since.contains(id))
        {
            reopen_host(find_runner(f, m->runner));
        }
    }
}

std::set<std::string> held_machines(const fleet& f, const wave& w, const machine_table& list)
{
    std::set<std::string> out;
    for (const auto& id : w.machines)
    {
        const auto* const m = find_machine(list, id);
        const auto* const h = m == nullptr ? nullptr : find_runner(f, m->runner);
        const bool closed =
            h != nullptr && h->availability == host_availability::closed_for_maintenance;
        if (closed || w.pending_orders.contains(id) || w.down_since.contains(id))
        {
            out.insert(id);
        }
    }
    return out;
}

std::vector<std::string> plan_wave(fleet& f,
    wave& w,
    const machine_table& list,
    const wave_settings& s,
    core::mono_time now,
    task_events& out)
{
    std::vector<std::string> ready;
    auto all = find_candidates(f, w, list);
    int places = w.max_at_once - count_absent_machines(w, list);
    const auto urgency = evaluate_urgency(f, w, all, s, now);
    int closing = std::max(places, 0) + s.hosts_closed_ahead;
    int evacuating = urgency.closed_for_tasks;
    for (auto& it : all)
    {
        const bool closed = it.host != nullptr &&
                            it.host->availability == host_availability::closed_for_maintenance;
        const bool leaves = urgency.evacuates && it.long_running > 0 && evacuating > 0;
        if (!urgency.is_late && !closed && is_needed(it, list) && !leaves)
        {
            continue;
        }
        evacuating -= it.long_running > 0 ? 1 : 0;
        if (closing-- <= 0)
        {
            break;
        }
        if (it.host != nullptr)
        {
            close_host(w, *it.host, it.machine, now, out);
            const bool waited = now - it.host->closed_at > s.batch_task_timeout;
            evacuate_host(f, *it.host, waited || urgency.is_late, now, out);
        }
        const bool empty = it.host == nullptr || is_empty(*it.host);
        if (empty && places > 0)
        {
            --places;
            const auto& runner = list.machines.at(it.machine).runner;
            w.pending_orders[it.machine] = {it.host == nullptr ? runner : it.host->ref.id, {}};
            ready.push_back(it.machine);
        }
    }
    return ready;
}

bool prepare_maintenance_order(fleet& f,
    wave& w,
    const machine_table& list,
    const std::string& machine,
    const wave_settings& s,
    core::mono_time now,
    task_events& out)
{
    auto& order = w.pending_orders[machine];
    const bool sent = order.sent_at != core::mono_time{};
    if (sent && list.requested_at <= order.sent_at)
    {
        return false;
    }
    if (auto* const h = host_of_machine(f, list, machine))
    {
        close_host(w, *h, machine, now, out);
        evacuate_host(f, *h, now - h->closed_at > s.batch_task_timeout, now, out);
        const bool waited = sent && now - h->closed_at > s.batch_task_timeout;
        if (!is_empty(*h) && !waited)
        {
            return false;
        }
    }
    order.sent_at = now;
    return true;
}

void record_unanswered_order(wave& w, const std::string& machine)
{
    w.pending_orders[machine].unanswered = true;
}

bool order_may_take_effect(const wave& w, const machine_table& list, const std::string& machine)
{
    const auto it = w.pending_orders.find(machine);
    if (it == w.pending_orders.end() || !it->second.unanswered)
    {
        return false;
    }
    return find_machine(list, machine) != nullptr || list.requested_at <= it->second.sent_at;
}

void handle_maintenance_started(
    fleet& f, wave& w, const machine_table& list, const std::string& machine, core::mono_time now)
{
    const auto order = w.pending_orders.find(machine);
    auto* const h = host_of_machine(f, list, machine);
    const bool came_after = order == w.pending_orders.end() || h == nullptr ||
                            !may_be_incarnation(order->second.runner, h->ref.id);
    if (came_after)
    {
        reopen_host(h);
    }
    w.pending_orders.erase(machine);
    w.started_machines.insert(machine);
    w.down_since[machine] = now;
}

void remove_from_wave(fleet& f, wave& w, const machine_table& list, const std::string& machine)
{
    w.pending_orders.erase(machine);
    w.started_machines.insert(machine);
    reopen_host(host_of_machine(f, list, machine));
}

void evacuate_draining_hosts(fleet& f, core::mono_time now, task_events& out)
{
    for (auto& [id, h] : f.hosts)
    {
        if (h.draining && h.reachable && !h.runs.empty())
        {
            evacuate_host(f, h, false, now, out);
        }
    }
}

void evacuate_host(fleet& f, host_entry& h, bool batch_too, core::mono_time now, task_events& out)
{
    const auto runs = h.runs;
    for (const auto& [text, name] : runs)
    {
        const auto& j = *find_job(f, name.job);
        const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
        if (s.long_running)
        {
            // The users of a step tolerate max_unavailable absent tasks; one more would break that
            // bound. A task that is stopped without another host to run on would wait until a host
            // is back, which in turn may wait for other tasks of the step: a wave over a whole pool
            // would never end.
            const bool allowed =
                s.max_unavailable == 0 || other_unavailable_tasks(f, j, name) < s.max_unavailable;
            if (!allowed || !can_run_elsewhere(f, j, name, h.ref.id, now))
            {
                continue;
            }
        }
        else if (!batch_too)
        {
            continue;
        }
        const auto& t = *find_task(f, name);
        for (const auto& it : std::vector<run_entry>(t.runs))
        {
            if (it.host == h.ref.id)
            {
                request_stop(f, name, it.number, now, "its host is being emptied", out);
            }
        }
    }
}

} // namespace camphorhitch::coordinator
