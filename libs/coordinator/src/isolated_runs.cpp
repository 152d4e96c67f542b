#include "isolated_runs.hpp"

#include "bookkeeping.hpp"
#include "lost_runs.hpp"

#include <algorithm>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

/// Share of a pool's hosts that run isolated tasks at a time, so that a job whose tasks crash their
/// hosts takes down no more than that: one of this many hosts of the pool, or one of
/// idle_hosts_per_isolated_run idle hosts if that is more.
constexpr int hosts_per_isolated_run = 4;
constexpr int idle_hosts_per_isolated_run = 2;

bool is_idle(const host_entry& h)
{
    return h.runs.empty() && h.orphaned_runs == 0;
}

bool may_isolate(const candidate_hosts& hosts)
{
    return hosts.isolating < hosts.max_isolating_hosts;
}

/// \return whether the suspects of the pool have waited so long for an empty host that one is
/// started beside other tasks: in a pool with long-running tasks, no host may ever become empty.
bool has_waited_too_long(fleet& f, candidate_hosts& hosts, core::mono_time now)
{
    hosts.suspect_waits = true;
    const auto since = f.isolation_wait_since.try_emplace(hosts.pool, now).first->second;
    return now - since >= f.settings.isolation_max_wait;
}

/// \return the host for an isolated run: an empty one, or the least used one after a long wait.
host_entry* choose_isolation_host(fleet& f,
    candidate_hosts& hosts,
    const job_entry& j,
    const workflow::task_name& name,
    core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
    host_entry* best = nullptr;
    auto lowest_cost = std::tuple(true, true, std::int64_t{0});
    for (auto* const h : hosts.available)
    {
        // Only when its machine is known can the machine list show another runner on it, which
        // makes a crash certain.
        if (h->machine.empty() || !has_required_ticket(*h, j, name.occurrence, name.step, now) ||
            !can_run_step(*h, j, name.occurrence, name.step, s))
        {
            continue;
        }
        const bool far = !s.preferred_rack.empty() && h->rack != s.preferred_rack;
        const auto cost = std::tuple(!is_idle(*h), far, h->used.cpu);
        if (best == nullptr || cost < lowest_cost)
        {
            best = h;
            lowest_cost = cost;
        }
    }
    if (best == nullptr || is_idle(*best) || has_waited_too_long(f, hosts, now))
    {
        return best;
    }
    hosts.reserved_host = best;
    return nullptr;
}

void record_isolated_start(fleet& f, candidate_hosts& hosts)
{
    f.isolation_wait_since.erase(hosts.pool);
    hosts.suspect_waits = false;
    hosts.isolating += static_cast<int>(
        std::erase_if(hosts.available, [](const host_entry* h) { return h->isolated_runs > 0; }));
}

/// Logs a withheld start once for each loss, and not before the loss is stored.
void log_withheld(
    const job_entry& j, task_entry& t, const workflow::task_name& name, task_events& out)
{
    if (!t.withheld_logged && j.losses_stored == j.losses_recorded)
    {
        t.withheld_logged = true;
        record_event(out,
            "start_withheld",
            name,
            t.highest_run_number,
            "",
            "losses=" + std::to_string(t.progress.lost_runs.size()));
    }
}

/// The next coordinator doesn't know when the newest loss occurred: the wait for evidence starts
/// when it first evaluates the task.
void set_loss_time(task_entry& t, core::mono_time now)
{
    if (!t.progress.lost_runs.empty() && t.last_loss_at == core::mono_time{})
    {
        t.last_loss_at = now;
    }
}

/// Reserves the isolated run if it is not reserved yet; it may start once the reservation is
/// stored.
/// \return whether it was reserved before.
bool ensure_reserved(fleet& f, job_entry& j, task_entry& t, std::int64_t number)
{
    if (t.reserved_run_number == number)
    {
        return true;
    }
    if (t.reserved_run_number != 0)
    {
        // A run with a higher number was reported.
        release_isolated_run(f, j, t, t.reserved_run_number);
    }
    reserve_isolated_run(f, j, t, number);
    return false;
}

void start_isolated_gang(fleet& f,
    const waiting_step& w,
    candidate_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const workflow::task_name first{j.spec.id, w.occurrence, w.step, 0};
    const int tasks = j.spec.steps[static_cast<std::size_t>(w.step)].tasks;
    if (step_of(j, w.occurrence, w.step).idle < tasks)
    {
        return; // the end of some member of an earlier run is not certain
    }
    for (int i = 0; i < tasks; ++i)
    {
        set_loss_time(*find_task(f, {j.spec.id, w.occurrence, w.step, i}), now);
    }
    const auto rule = find_start_rule(f, j, first, now);
    if (rule == start_rule::withheld)
    {
        log_withheld(j, *find_task(f, first), first, out);
    }
    if (rule != start_rule::isolated || !may_isolate(hosts))
    {
        return;
    }
    if (!ensure_reserved(f, j, *find_task(f, first), next_gang_run_number(f, w, tasks)))
    {
        ++hosts.isolating;
        return;
    }
    auto empty = hosts.available;
    std::erase_if(empty, [](const host_entry* h) { return !is_idle(*h); });
    const auto before = to.starts.size();
    start_gang(f, w, empty, now, to, out);
    if (to.starts.size() == before && has_waited_too_long(f, hosts, now))
    {
        start_gang(f, w, hosts.available, now, to, out);
    }
    if (to.starts.size() > before)
    {
        record_isolated_start(f, hosts);
    }
}

/// \return the tasks of the step that may start in isolation and whose run is reserved, or is not
/// reserved, as \p reserved says.
std::vector<int> find_suspects(
    fleet& f, const waiting_step& w, bool reserved, core::mono_time now, task_events& out)
{
    std::vector<int> all;
    auto& j = *w.job;
    for (int i = 0; i < j.spec.steps[static_cast<std::size_t>(w.step)].tasks; ++i)
    {
        const workflow::task_name name{j.spec.id, w.occurrence, w.step, i};
        auto& t = *find_task(f, name);
        if (t.progress.done || !t.runs.empty() || now < t.not_before)
        {
            continue;
        }
        set_loss_time(t, now);
        const auto rule = find_start_rule(f, j, name, now);
        if (rule == start_rule::withheld)
        {
            log_withheld(j, t, name, out);
        }
        else if (rule == start_rule::isolated && (t.reserved_run_number != 0) == reserved)
        {
            all.push_back(i);
        }
    }
    return all;
}

/// Starts an isolated run of the task, or reserves it.
void start_isolated_task(fleet& f,
    const waiting_step& w,
    int index,
    candidate_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const workflow::task_name name{j.spec.id, w.occurrence, w.step, index};
    auto& t = *find_task(f, name);
    if (!fits_cap(f, j, j.spec.steps[static_cast<std::size_t>(w.step)].need))
    {
        record_capped_step(f, j);
        return;
    }
    auto* const h = choose_isolation_host(f, hosts, j, name, now);
    if (h == nullptr)
    {
        ++hosts.isolating; // counts for the bound, so that no other suspect takes its place
        return;
    }
    // The next coordinator counts a reservation as a start, so it is made only when a host is
    // there.
    if (!ensure_reserved(f, j, t, next_run_number(t)))
    {
        ++hosts.isolating;
        return;
    }
    if (find_start_rule(f, j, name, now) != start_rule::isolated)
    {
        return; // another task of the job has just been reserved, which is not stored yet
    }
    order_start(f, *h, j, name, t.reserved_run_number, now, to, out);
    record_isolated_start(f, hosts);
}

} // namespace

std::map<std::string, candidate_hosts> hosts_by_pool(fleet& f, core::mono_time now)
{
    std::map<std::string, candidate_hosts> out;
    for (auto& [id, h] : f.hosts)
    {
        auto& of = out[h.pool];
        of.listed += h.listed ? 1 : 0;
        of.isolating += h.isolated_runs > 0 ? 1 : 0;
        if (accepts_tasks(f, h, now))
        {
            of.available.push_back(&h);
            of.idle += is_idle(h) ? 1 : 0;
        }
    }
    for (auto& [pool, of] : out)
    {
        of.pool = pool;
        const int spare = (of.idle + of.isolating) / idle_hosts_per_isolated_run;
        of.max_isolating_hosts =
            std::max((of.listed + hosts_per_isolated_run - 1) / hosts_per_isolated_run, spare);
    }
    return out;
}

void start_isolated_runs(fleet& f,
    const waiting_step& w,
    candidate_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const auto& s = j.spec.steps[static_cast<std::size_t>(w.step)];
    if (s.gang)
    {
        start_isolated_gang(f, w, hosts, now, to, out);
        return;
    }
    // Tasks with a reserved run come first: a reservation made now must be stored before any may
    // start.
    for (const bool reserved : {true, false})
    {
        const auto suspects = find_suspects(f, w, reserved, now, out);
        for (const auto i : suspects)
        {
            if (!may_isolate(hosts))
            {
                return;
            }
            if (to.remaining_orders <= 0)
            {
                to.truncated = true;
                return;
            }
            start_isolated_task(f, w, i, hosts, now, to, out);
        }
    }
}

} // namespace camphorhitch::coordinator
