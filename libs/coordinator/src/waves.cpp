#include "coordinator/waves.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

/// A machine that may come next.
struct candidate
{
    std::string machine;
    host_entry* host = nullptr; ///< null: nothing of ours can run there
    int long_running = 0;
};

bool comes_first(const candidate& a, const candidate& b)
{
    const auto key = [](const candidate& it)
    {
        const bool closed = it.host == nullptr || it.host->availability != host_availability::open;
        const std::int64_t used = it.host == nullptr ? 0 : it.host->used.cpu;
        return std::tuple(!closed, it.long_running, used);
    };
    return key(a) < key(b);
}

std::vector<candidate> candidates_of(fleet& f, const wave& w, const machine_table& list)
{
    std::vector<candidate> out;
    for (const auto& id : w.machines)
    {
        const auto* const m = find_machine(list, id);
        const bool open = m != nullptr && !w.begun.contains(id) && !w.asked.contains(id) &&
                          !list.moving.contains(id);
        if (!open || m->state != ports::machine_state::up)
        {
            continue;
        }
        candidate it{id, find_host(f, m->runner), 0};
        it.long_running = it.host == nullptr ? 0 : long_running_tasks(f, *it.host);
        out.push_back(it);
    }
    std::stable_sort(out.begin(), out.end(), comes_first);
    return out;
}

int absent_machines(const wave& w, const machine_table& list)
{
    int n = 0;
    for (const auto& id : w.machines)
    {
        const auto* const m = find_machine(list, id);
        const bool away = m != nullptr && m->state != ports::machine_state::up;
        n += away || w.asked.contains(id) || w.down_at.contains(id) ? 1 : 0;
    }
    return n;
}

/// While there is time, only hosts that nobody misses go down: those that are switched off, and
/// idle ones of pools that have some to spare.
bool is_missed(const candidate& it, const machine_table& list)
{
    return it.host != nullptr && (!is_empty(*it.host) || list.short_pools.contains(it.host->pool));
}

/// \return how often long-running tasks have to leave one after the other, since a step bears only
/// so many away at once, until the candidates run none.
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

/// \return the time that the rest of the wave takes at the pace of one turn a place.
core::millis time_of_turns(const wave& w, std::size_t left, const wave_settings& s)
{
    const auto turns =
        (static_cast<std::int64_t>(left) + w.most_at_once - 1) / std::max(w.most_at_once, 1);
    return turns * s.turn + s.reserve;
}

/// What may be closed at one look.
struct wave_pace
{
    bool pressed = false;     ///< the wave would end late: all that is left may be closed
    bool evacuates = false;   ///< hosts are closed for their long-running tasks' sake
    int closed_for_tasks = 0; ///< of these, at once
};

wave_pace pace_of(const fleet& f,
    const wave& w,
    const std::vector<candidate>& all,
    const wave_settings& s,
    core::mono_time now)
{
    wave_pace out;
    const auto ends = now + time_of_turns(w, all.size(), s);
    const int rounds = evacuation_rounds(f, all);
    out.pressed = ends > w.due;
    out.evacuates = ends + rounds * s.evacuation > w.due;
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
    return m == nullptr ? nullptr : find_host(f, m->runner);
}

void reopen_host(host_entry* h)
{
    if (h != nullptr && h->availability == host_availability::closed_for_maintenance)
    {
        h->availability = host_availability::open;
    }
}

} // namespace

/// A machine that the list doesn't show has left. Of a list from before the request this proves
/// nothing: one that was new then would be taken for gone, and the operators told that the wave is
/// completed. A list that was asked for after it shows each machine that stays.
bool see_machines(wave& w, const machine_table& list, const wave_settings& s)
{
    std::erase_if(w.down_at,
        [&](const auto& it)
        {
            const auto* const m = find_machine(list, it.first);
            const bool back = m == nullptr || m->state == ports::machine_state::up;
            return back && list.read_at > it.second + s.list_lag;
        });
    const bool knows_all = list.known && list.read_at > w.taken_at + s.list_lag;
    const bool all = std::all_of(w.machines.begin(),
        w.machines.end(),
        [&](const std::string& id)
        { return w.begun.contains(id) || (knows_all && find_machine(list, id) == nullptr); });
    const bool now_completed = list.known && all && !w.completed;
    w.completed = w.completed || now_completed;
    return now_completed;
}

void reopen_maintained(fleet& f, const wave& w, const machine_table& list)
{
    for (const auto& id : w.begun)
    {
        const auto* const m = find_machine(list, id);
        const bool back = m != nullptr && m->state == ports::machine_state::up;
        if (back && !w.asked.contains(id) && !w.down_at.contains(id))
        {
            reopen_host(find_host(f, m->runner));
        }
    }
}

std::set<std::string> held_machines(const fleet& f, const wave& w, const machine_table& list)
{
    std::set<std::string> out;
    for (const auto& id : w.machines)
    {
        const auto* const m = find_machine(list, id);
        const auto h = m == nullptr ? f.hosts.end() : f.hosts.find(m->runner);
        const bool closed = h != f.hosts.end() &&
                            h->second.availability == host_availability::closed_for_maintenance;
        if (closed || w.asked.contains(id) || w.down_at.contains(id))
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
    auto all = candidates_of(f, w, list);
    int places = w.most_at_once - absent_machines(w, list);
    const auto pace = pace_of(f, w, all, s, now);
    int closing = std::max(places, 0) + s.ahead;
    int evacuating = pace.closed_for_tasks;
    for (auto& it : all)
    {
        const bool closed = it.host != nullptr &&
                            it.host->availability == host_availability::closed_for_maintenance;
        const bool leaves = pace.evacuates && it.long_running > 0 && evacuating > 0;
        if (!pace.pressed && !closed && is_missed(it, list) && !leaves)
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
            const bool waited = now - it.host->closed_at > s.patience;
            empty_host(f, *it.host, waited || pace.pressed, now, out);
        }
        const bool empty = it.host == nullptr || is_empty(*it.host);
        if (empty && places > 0)
        {
            --places;
            w.asked[it.machine] = {list.machines.at(it.machine).runner, {}};
            ready.push_back(it.machine);
        }
    }
    return ready;
}

bool may_send_order(fleet& f,
    wave& w,
    const machine_table& list,
    const std::string& machine,
    const wave_settings& s,
    core::mono_time now,
    task_events& out)
{
    auto& order = w.asked[machine];
    const bool sent = order.sent_at != core::mono_time{};
    if (sent && list.read_at <= order.sent_at)
    {
        return false;
    }
    if (auto* const h = host_of_machine(f, list, machine))
    {
        close_host(w, *h, machine, now, out);
        empty_host(f, *h, now - h->closed_at > s.patience, now, out);
        const bool waited = sent && now - h->closed_at > s.patience;
        if (!is_empty(*h) && !waited)
        {
            return false;
        }
    }
    order.sent_at = now;
    return true;
}

void order_unheard(wave& w, const std::string& machine)
{
    w.asked[machine].unheard = true;
}

bool keeps_place(const wave& w, const machine_table& list, const std::string& machine)
{
    const auto it = w.asked.find(machine);
    if (it == w.asked.end() || !it->second.unheard)
    {
        return false;
    }
    return find_machine(list, machine) != nullptr || list.read_at <= it->second.sent_at;
}

void maintenance_began(
    fleet& f, wave& w, const machine_table& list, const std::string& machine, core::mono_time now)
{
    const auto asked = w.asked.find(machine);
    auto* const h = host_of_machine(f, list, machine);
    const bool came_after =
        asked == w.asked.end() || h == nullptr || asked->second.runner != h->ref.id;
    if (came_after)
    {
        reopen_host(h);
    }
    w.asked.erase(machine);
    w.begun.insert(machine);
    w.down_at[machine] = now;
}

void not_in_wave(fleet& f, wave& w, const machine_table& list, const std::string& machine)
{
    w.asked.erase(machine);
    w.begun.insert(machine);
    reopen_host(host_of_machine(f, list, machine));
}

void empty_draining_hosts(fleet& f, core::mono_time now, task_events& out)
{
    for (auto& [id, h] : f.hosts)
    {
        if (h.draining && h.reachable && !h.runs.empty())
        {
            empty_host(f, h, false, now, out);
        }
    }
}

void empty_host(fleet& f, host_entry& h, bool batch_too, core::mono_time now, task_events& out)
{
    const auto runs = h.runs;
    for (const auto& [text, name] : runs)
    {
        const auto& j = *find_job(f, name.job);
        const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
        if (s.long_running)
        {
            // A step's users bear so many of its tasks away at once; one more would break that.
            // And a task that is stopped with no host to go to would wait until a host is back,
            // which in turn may wait for others of the step: a wave over a whole pool would never
            // end.
            const bool allowed =
                s.max_unavailable == 0 || others_away(f, j, name) < s.max_unavailable;
            if (!allowed || !has_place_elsewhere(f, j, name, h.ref.id, now))
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
                want_stop(f, name, it.number, now, "its host is emptied", out);
            }
        }
    }
}

} // namespace camphorhitch::coordinator
