#include "trials.hpp"

#include "bookkeeping.hpp"
#include "losses.hpp"

#include <algorithm>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

/// A class whose tasks crash their hosts takes no more than one of so many of a pool's hosts at a
/// time, or of those that nobody needs now.
constexpr int hosts_per_trial = 4;
constexpr int idle_hosts_per_trial = 2;

bool is_idle(const host_entry& h)
{
    return h.runs.empty() && h.orphaned_runs == 0;
}

bool may_try(const pool_hosts& hosts)
{
    return hosts.trials < hosts.most_trials;
}

/// \return whether suspects of the pool have found no empty host for so long that one is tried
/// beside others: in a pool of tasks that last, no host may ever be empty.
bool is_out_of_patience(fleet& f, pool_hosts& hosts, core::mono_time now)
{
    hosts.waits = true;
    const auto since = f.isolation_wait_since.try_emplace(hosts.pool, now).first->second;
    return now - since >= f.settings.isolation_max_wait;
}

/// \return the host for a trial: an empty one, else the least used when the wait was long enough.
host_entry* choose_trial_host(fleet& f,
    pool_hosts& hosts,
    const job_entry& j,
    const workflow::task_name& name,
    core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
    host_entry* best = nullptr;
    auto best_cost = std::tuple(true, true, std::int64_t{0});
    for (auto* const h : hosts.open)
    {
        // Only of a known machine the list shows that it has another life, so that a crash is
        // certain.
        if (h->machine.empty() || !is_advised(*h, j, name.occurrence, name.step, now) ||
            !may_run_there(*h, j, name.occurrence, name.step, s))
        {
            continue;
        }
        const bool far = !s.preferred_rack.empty() && h->rack != s.preferred_rack;
        const auto cost = std::tuple(!is_idle(*h), far, h->used.cpu);
        if (best == nullptr || cost < best_cost)
        {
            best = h;
            best_cost = cost;
        }
    }
    if (best == nullptr || is_idle(*best) || is_out_of_patience(f, hosts, now))
    {
        return best;
    }
    hosts.set_aside = best;
    return nullptr;
}

void note_trial(fleet& f, pool_hosts& hosts)
{
    f.isolation_wait_since.erase(hosts.pool);
    hosts.waits = false;
    hosts.trials += static_cast<int>(
        std::erase_if(hosts.open, [](const host_entry* h) { return h->isolated_runs > 0; }));
}

/// Told once for each loss, and not while the loss is on its way to the store.
void tell_withheld(
    const job_entry& j, task_entry& t, const workflow::task_name& name, task_events& out)
{
    if (!t.withheld_logged && j.losses_stored == j.losses_recorded)
    {
        t.withheld_logged = true;
        note(out,
            "start_withheld",
            name,
            t.highest_run_number,
            "",
            "losses=" + std::to_string(t.progress.lost_runs.size()));
    }
}

/// A successor can't know when the newest loss was: the wait for certainty begins with its look.
void date_loss(task_entry& t, core::mono_time now)
{
    if (!t.progress.lost_runs.empty() && t.last_loss_at == core::mono_time{})
    {
        t.last_loss_at = now;
    }
}

/// \return whether the trial is entered already; one that is not is entered, to start once stored.
bool is_entered(fleet& f, job_entry& j, task_entry& t, std::int64_t number)
{
    if (t.reserved_run_number == number)
    {
        return true;
    }
    if (t.reserved_run_number != 0)
    {
        release_trial(f, j, t, t.reserved_run_number); // a higher number has come into view
    }
    reserve_trial(f, j, t, number);
    return false;
}

void start_trial_of_gang(fleet& f,
    const waiting_step& w,
    pool_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const workflow::task_name first{j.spec.id, w.occurrence, w.step, 0};
    const int tasks = j.spec.steps[static_cast<std::size_t>(w.step)].tasks;
    if (step_of(j, w.occurrence, w.step).idle < tasks)
    {
        return; // some member of an earlier run is not certainly over
    }
    for (int i = 0; i < tasks; ++i)
    {
        date_loss(*find_task(f, {j.spec.id, w.occurrence, w.step, i}), now);
    }
    const auto rule = rule_of(f, j, first, now);
    if (rule == start_rule::withheld)
    {
        tell_withheld(j, *find_task(f, first), first, out);
    }
    if (rule != start_rule::alone || !may_try(hosts))
    {
        return;
    }
    if (!is_entered(f, j, *find_task(f, first), gang_number(f, w, tasks)))
    {
        ++hosts.trials;
        return;
    }
    auto empty = hosts.open;
    std::erase_if(empty, [](const host_entry* h) { return !is_idle(*h); });
    const auto before = to.starts.size();
    start_gang(f, w, empty, now, to, out);
    if (to.starts.size() == before && is_out_of_patience(f, hosts, now))
    {
        start_gang(f, w, hosts.open, now, to, out);
    }
    if (to.starts.size() > before)
    {
        note_trial(f, hosts);
    }
}

/// \return those tasks of the step that may start alone and are entered as such, or are not.
std::vector<int> suspects_of(
    fleet& f, const waiting_step& w, bool entered, core::mono_time now, task_events& out)
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
        date_loss(t, now);
        const auto rule = rule_of(f, j, name, now);
        if (rule == start_rule::withheld)
        {
            tell_withheld(j, t, name, out);
        }
        else if (rule == start_rule::alone && (t.reserved_run_number != 0) == entered)
        {
            all.push_back(i);
        }
    }
    return all;
}

/// Starts the task as a trial, or enters it as one.
void try_task(fleet& f,
    const waiting_step& w,
    int index,
    pool_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const workflow::task_name name{j.spec.id, w.occurrence, w.step, index};
    auto& t = *find_task(f, name);
    if (!is_entered(f, j, t, next_run_number(t)))
    {
        ++hosts.trials;
        return;
    }
    if (rule_of(f, j, name, now) != start_rule::alone)
    {
        return; // another task of the job has just been entered
    }
    if (auto* const h = choose_trial_host(f, hosts, j, name, now))
    {
        order_start(f, *h, j, name, t.reserved_run_number, now, to, out);
        note_trial(f, hosts);
        return;
    }
    ++hosts.trials; // it keeps its turn
}

} // namespace

pool_hosts hosts_of_pool(fleet& f, const std::string& pool, core::mono_time now)
{
    pool_hosts out;
    out.pool = pool;
    int all = 0;
    int idle = 0;
    for (auto& [id, h] : f.hosts)
    {
        if (h.pool != pool)
        {
            continue;
        }
        all += h.listed ? 1 : 0;
        out.trials += h.isolated_runs > 0 ? 1 : 0;
        if (may_host(f, h, now))
        {
            out.open.push_back(&h);
            idle += is_idle(h) ? 1 : 0;
        }
    }
    const int spare = (idle + out.trials) / idle_hosts_per_trial;
    out.most_trials = std::max((all + hosts_per_trial - 1) / hosts_per_trial, spare);
    return out;
}

void start_trials(fleet& f,
    const waiting_step& w,
    pool_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const auto& s = j.spec.steps[static_cast<std::size_t>(w.step)];
    if (s.gang)
    {
        start_trial_of_gang(f, w, hosts, now, to, out);
        return;
    }
    // First those that are entered: what is entered now has to be stored before any may start.
    for (const bool entered : {true, false})
    {
        const auto suspects = suspects_of(f, w, entered, now, out);
        for (const auto i : suspects)
        {
            if (!may_try(hosts))
            {
                return;
            }
            if (to.room <= 0)
            {
                to.cut = true;
                return;
            }
            try_task(f, w, i, hosts, now, to, out);
        }
    }
}

} // namespace camphorhitch::coordinator
