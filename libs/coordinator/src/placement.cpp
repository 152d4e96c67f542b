#include "coordinator/placement.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/pacing.hpp"
#include "given_up.hpp"
#include "losses.hpp"
#include "starts.hpp"
#include "trials.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

/// A host with this many more failed than finished runs gets work only when no other has room.
constexpr int suspect_failures = 3;

bool order_of_service(job_order order, const waiting_step& a, const waiting_step& b)
{
    const auto key = [order](const waiting_step& it)
    {
        if (order == job_order::first_come)
        {
            return std::tuple(false, false, 0, it.job->spec.accepted_unix_ms);
        }
        // More work than room: served in order of time, all would be late. Those that can still be
        // in time go first, so that some are.
        return std::tuple(it.lost, it.late, it.job->spec.priority, it.due_unix_ms);
    };
    return key(a) < key(b);
}

/// Expected times are means; a job that misses by less than this may well be in time.
constexpr std::int64_t late_tolerance_ms = 200;

/// Credit ends at this many times the objective.
constexpr std::int64_t lost_after_objectives = 3;

void add_waiting_steps(
    const learnt& l, job_entry& j, std::int64_t unix_ms, std::vector<waiting_step>& out)
{
    const auto objective = objective_of(l, j.spec).count();
    for (int k = 0; k < workflow::occurrence_count(j.spec); ++k)
    {
        const auto due = due_at(j.spec, k);
        if (due > unix_ms && workflow::is_scheduled(j.spec))
        {
            break;
        }
        for (int s = 0; s < static_cast<int>(j.spec.steps.size()); ++s)
        {
            if (step_of(j, k, s).idle > 0 && is_step_ready(j, k, s))
            {
                const bool lasts = j.spec.steps[static_cast<std::size_t>(s)].long_running;
                const bool lost = !lasts && unix_ms > due + objective * lost_after_objectives;
                const auto rest = time_to_end(l, j.spec.steps, s).count();
                const bool late = !lasts && unix_ms + rest > due + objective + late_tolerance_ms;
                out.push_back({&j, k, s, lost, late, due + objective});
            }
        }
    }
}

std::vector<waiting_step> all_waiting_steps(fleet& f, core::mono_time now, std::int64_t unix_ms)
{
    std::vector<waiting_step> out;
    const auto unseen = find_unexamined(f, now);
    for (const auto& id : f.open_jobs)
    {
        auto& j = *f.jobs.at(id);
        if (!workflow::is_final(j.state) && !(j.inherited && covers(unseen, j.spec.pool)))
        {
            add_waiting_steps(f.run_time_estimates, j, unix_ms, out);
        }
    }
    const auto order = f.settings.placement.jobs;
    std::sort(out.begin(),
        out.end(),
        [order](const auto& a, const auto& b) { return order_of_service(order, a, b); });
    return out;
}

/// A task whose run was lost with its host may have crashed it. Those that were lost with it are
/// suspects when it happens again, so they count for more.
/// \return a measure of what is lost if this task, or one on the host, does so.
std::int64_t runs_at_risk(const host_entry& h, const task_entry& t)
{
    if (t.progress.lost_runs.empty())
    {
        return h.runs_after_loss > 0 ? 1 : 0;
    }
    return static_cast<std::int64_t>(h.runs.size()) + 2 * std::int64_t{h.runs_after_loss};
}

/// \return the host with the lowest cost, or nullptr when none may run the task.
host_entry* choose_host(const fleet& f,
    const std::vector<host_entry*>& hosts,
    const job_entry& j,
    const workflow::task_name& name,
    const task_entry& t,
    core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
    host_entry* best = nullptr;
    auto best_cost =
        std::tuple(true, true, true, std::int64_t{0}, 0, std::numeric_limits<std::int64_t>::max());
    for (auto* const h : hosts)
    {
        if (!is_advised(*h, j, name.occurrence, name.step, now) ||
            !may_run_there(*h, j, name.occurrence, name.step, s))
        {
            continue;
        }
        const bool failed_here =
            std::find(t.failed_on.begin(), t.failed_on.end(), h->ref.id) != t.failed_on.end();
        const bool suspect = h->recent_failures >= suspect_failures;
        const bool far = !s.preferred_rack.empty() && h->rack != s.preferred_rack;
        const auto near = runs_at_risk(*h, t);
        const int disturbed = disturbing_runs(f, *h, s);
        // Short tasks fill one host after the other, so that some stay empty and can move to
        // another pool, or rest, at once; those that stay are spread, so that few are lost or moved
        // together.
        const bool fills_up = !s.long_running && f.settings.placement.hosts == host_choice::fullest;
        const auto fill = fills_up ? -h->used.cpu : h->used.cpu;
        const auto cost = std::tuple(failed_here, suspect, far, near, disturbed, fill);
        if (best == nullptr || cost < best_cost)
        {
            best = h;
            best_cost = cost;
        }
    }
    return best;
}

bool may_start_beside_others(
    const fleet& f, const job_entry& j, const workflow::task_name& name, core::mono_time now)
{
    const auto rule = rule_of(f, j, name, now);
    return rule == start_rule::open || rule == start_rule::watched;
}

/// Starts as many tasks of the step as there is room for.
void start_tasks(fleet& f,
    const waiting_step& w,
    const std::vector<host_entry*>& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const int tasks = j.spec.steps[static_cast<std::size_t>(w.step)].tasks;
    for (int i = 0; i < tasks && step_of(j, w.occurrence, w.step).idle > 0; ++i)
    {
        const workflow::task_name name{j.spec.id, w.occurrence, w.step, i};
        const auto& t = *find_task(f, name);
        if (t.progress.done || !t.runs.empty() || now < t.not_before ||
            !may_start_beside_others(f, j, name, now))
        {
            continue;
        }
        auto* const h = choose_host(f, hosts, j, name, t, now);
        if (h == nullptr)
        {
            return; // the step's other tasks are alike
        }
        if (to.room <= 0)
        {
            to.cut = true;
            return;
        }
        order_start(f, *h, j, name, next_run_number(t), now, to, out);
    }
}

void start_step(fleet& f,
    const waiting_step& w,
    const std::vector<host_entry*>& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    const bool gang = w.job->spec.steps[static_cast<std::size_t>(w.step)].gang;
    if (!gang)
    {
        start_tasks(f, w, hosts, now, to, out);
    }
    else if (may_start_beside_others(f, *w.job, {w.job->spec.id, w.occurrence, w.step, 0}, now))
    {
        start_gang(f, w, hosts, now, to, out);
    }
}

pool_hosts& hosts_in(std::map<std::string, pool_hosts>& pools,
    fleet& f,
    const std::string& pool,
    core::mono_time now)
{
    const auto found = pools.find(pool);
    return found != pools.end() ? found->second
                                : pools.emplace(pool, hosts_of_pool(f, pool, now)).first->second;
}

/// Before all others, while there are empty hosts.
void start_suspects(fleet& f,
    const std::vector<waiting_step>& waiting,
    core::mono_time now,
    std::map<std::string, pool_hosts>& pools,
    plan& to,
    task_events& out)
{
    for (const auto& it : waiting)
    {
        if (it.job->losses > 0 && !to.cut)
        {
            start_trials(f, it, hosts_in(pools, f, it.job->spec.pool, now), now, to, out);
        }
    }
    for (auto& [pool, hosts] : pools)
    {
        if (hosts.open.size() > 1)
        {
            std::erase(hosts.open, hosts.set_aside);
        }
    }
    std::erase_if(f.isolation_wait_since,
        [&](const auto& it)
        {
            const auto found = pools.find(it.first);
            return found == pools.end() || !found->second.waits;
        });
}

void order_stops(fleet& f, core::mono_time now, plan& to)
{
    for (const auto& id : f.open_jobs)
    {
        auto& j = *f.jobs.at(id);
        if (j.live_runs == 0)
        {
            continue;
        }
        for (std::size_t i = 0; i < j.tasks.size(); ++i)
        {
            for (auto& it : j.tasks[i].runs)
            {
                if (it.phase != run_phase::stopping || it.stop_in_flight || it.stop_confirmed ||
                    now < it.stop_retry_at)
                {
                    continue;
                }
                const auto* const h = find_host(f, it.host);
                if (h != nullptr && to.room <= 0)
                {
                    to.cut = true;
                    return;
                }
                if (h != nullptr)
                {
                    --to.room;
                    it.stop_in_flight = true;
                    to.stops.push_back({h->ref, workflow::name_of_task(j.spec, i), it.number});
                }
            }
        }
    }
}

} // namespace

plan make_plan(fleet& f,
    core::mono_time now,
    std::int64_t unix_ms,
    bool may_start,
    task_events& out,
    int most_orders)
{
    plan to;
    to.room = most_orders;
    stop_given_up(f, now, to);
    order_stops(f, now, to);
    if (!may_start)
    {
        return to;
    }
    const auto waiting = all_waiting_steps(f, now, unix_ms);
    std::map<std::string, pool_hosts> pools;
    start_suspects(f, waiting, now, pools, to, out);
    for (const auto& it : waiting)
    {
        if (to.cut)
        {
            break; // what comes later in the order of service would overtake
        }
        const auto& hosts = hosts_in(pools, f, it.job->spec.pool, now).open;
        if (it.job->spec.needs_advice)
        {
            auto ask = plan_ask(f, *it.job, it.occurrence, it.step, hosts, now);
            if (!ask.runners.empty())
            {
                to.asks.push_back(std::move(ask));
            }
        }
        start_step(f, it, hosts, now, to, out);
    }
    return to;
}

void want_stop(fleet& f,
    const workflow::task_name& task,
    std::int64_t run,
    core::mono_time now,
    const std::string& reason,
    task_events& out)
{
    auto* const t = find_task(f, task);
    if (t == nullptr)
    {
        return;
    }
    for (auto& it : t->runs)
    {
        if (it.number == run && it.phase != run_phase::stopping)
        {
            it.phase = run_phase::stopping;
            it.phase_changed_at = now;
            note(out, "stop_wanted", task, run, it.host, reason);
        }
    }
}

namespace
{

/// A run on a host that does not answer may have ended with it.
bool is_at_work(const fleet& f, const run_entry& it)
{
    constexpr int whole = 100; // percent
    const auto h = f.hosts.find(it.host);
    return it.phase == run_phase::running && it.progress_percent >= whole && h != f.hosts.end() &&
           h->second.reachable;
}

} // namespace

int others_away(const fleet& f, const job_entry& j, const workflow::task_name& task)
{
    int away = 0;
    const auto first = workflow::task_index(j.spec, task.occurrence, task.step, 0);
    const int tasks = j.spec.steps[static_cast<std::size_t>(task.step)].tasks;
    for (int i = 0; i < tasks; ++i)
    {
        const auto& runs = j.tasks[first + static_cast<std::size_t>(i)].runs;
        const bool works = std::any_of(
            runs.begin(), runs.end(), [&](const run_entry& it) { return is_at_work(f, it); });
        away += i != task.index && !works ? 1 : 0;
    }
    return away;
}

bool has_place_elsewhere(const fleet& f,
    const job_entry& j,
    const workflow::task_name& task,
    const std::string& but,
    core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(task.step)];
    return std::any_of(f.hosts.begin(),
        f.hosts.end(),
        [&](const auto& it)
        {
            const auto& h = it.second;
            return h.ref.id != but && h.pool == j.spec.pool && may_host(f, h, now) &&
                   may_run_there(h, j, task.occurrence, task.step, s);
        });
}

std::map<std::string, int> pending_jobs(const fleet& f)
{
    std::map<std::string, int> out;
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        // A run that is only ordered proves nothing: its order may lie unread, or be lost.
        const bool begun = j.done_tasks > 0 || j.state != workflow::job_state::queued;
        if (!begun && !workflow::is_scheduled(j.spec))
        {
            ++out[j.spec.queue];
        }
    }
    return out;
}

} // namespace camphorhitch::coordinator
