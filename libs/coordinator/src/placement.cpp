#include "coordinator/placement.hpp"

#include "abandoned_starts.hpp"
#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/packing.hpp"
#include "coordinator/throttling.hpp"
#include "forecast_input.hpp"
#include "forecast_order.hpp"
#include "isolated_runs.hpp"
#include "lost_runs.hpp"
#include "starts.hpp"
#include "stop_orders.hpp"

#include <algorithm>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

/// A host with this many more failed than finished runs receives tasks only when no other host has
/// free capacity.
constexpr int suspect_failures = 3;

/// Expected run times are means: a job that misses its objective by less than this may still be in
/// time.
constexpr std::int64_t late_tolerance_ms = 200;

/// \return the rank of the job by its workspace's share; jobs with a lower one are served first.
double share_rank(const fleet& f, const job_entry& j)
{
    switch (f.settings.placement.shares)
    {
    case share_rule::rate:
        return j.beyond_share ? 1 : 0;
    case share_rule::dominant:
        return weighted_dominant_share(f, j.spec.workspace);
    case share_rule::work:
        return work_share_rank(f, j);
    case share_rule::none:
        break;
    }
    return 0;
}

void add_waiting_steps(const run_time_estimates& l,
    job_entry& j,
    double share,
    std::int64_t unix_ms,
    std::vector<waiting_step>& out)
{
    const auto objective = completion_objective(l, j.spec).count();
    for (int k = 0; k < workflow::occurrence_count(j.spec); ++k)
    {
        const auto due = occurrence_due_ms(j.spec, k);
        if (due > unix_ms && workflow::is_scheduled(j.spec))
        {
            break;
        }
        for (int s = 0; s < static_cast<int>(j.spec.steps.size()); ++s)
        {
            if (step_of(j, k, s).idle > 0 && is_step_ready(j, k, s))
            {
                const bool long_running = j.spec.steps[static_cast<std::size_t>(s)].long_running;
                const bool worthless =
                    !long_running && unix_ms > due + objective * worthless_after_objectives;
                const auto remaining = expected_remaining_time(l, j.spec.steps, s).count();
                const bool late =
                    !long_running && unix_ms + remaining > due + objective + late_tolerance_ms;
                out.push_back({&j, k, s, worthless, late, due + objective, share});
                apply_forecast(out.back());
            }
        }
    }
}

std::vector<waiting_step> all_waiting_steps(fleet& f, core::mono_time now, std::int64_t unix_ms)
{
    std::vector<waiting_step> out;
    const auto unseen = find_unseen_run_pools(f, now);
    for (const auto& id : f.open_jobs)
    {
        auto& j = *f.jobs.at(id);
        if (!workflow::is_final(j.state) &&
            !(j.inherited && may_have_unseen_runs(unseen, j.spec.pool)))
        {
            add_waiting_steps(f.run_time_estimates, j, share_rank(f, j), unix_ms, out);
        }
    }
    add_overdue_steps(f, out);
    const auto& policy = f.settings.placement;
    std::sort(out.begin(),
        out.end(),
        [&policy](const auto& a, const auto& b)
        {
            // The jobs come from a hash table, whose order must not decide between equals.
            const bool before = is_served_before(policy.jobs, a, b);
            return before || (policy.forecasts && !is_served_before(policy.jobs, b, a) &&
                                 is_named_before(a, b));
        });
    return out;
}

/// A task whose run was lost with its host may have crashed it. Tasks with lost runs become
/// suspects when they are lost again, so they count for more.
/// \return a measure of the loss if this task, or one on the host, crashes the host.
std::int64_t runs_at_risk(const host_entry& h, const task_entry& t)
{
    if (t.progress.lost_runs.empty())
    {
        return h.runs_after_loss > 0 ? 1 : 0;
    }
    return static_cast<std::int64_t>(h.runs.size()) + 2 * std::int64_t{h.runs_after_loss};
}

/// \return the host with the lowest cost, or nullptr when no host may run the task.
host_entry* choose_host(const fleet& f,
    const std::vector<host_entry*>& hosts,
    const job_entry& j,
    const workflow::task_name& name,
    const task_entry& t,
    core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
    host_entry* best = nullptr;
    auto lowest_cost = std::tuple(true, true, true, std::int64_t{0}, 0, packing_cost{});
    for (auto* const h : hosts)
    {
        if (!has_required_ticket(*h, j, name.occurrence, name.step, now) ||
            !can_run_step(*h, j, name.occurrence, name.step, s))
        {
            continue;
        }
        const bool failed_here =
            std::find(t.failed_on.begin(), t.failed_on.end(), h->ref.id) != t.failed_on.end();
        const bool suspect = h->recent_failures >= suspect_failures;
        const bool far = !s.preferred_rack.empty() && h->rack != s.preferred_rack;
        const auto near = runs_at_risk(*h, t);
        const int disturbed = interfering_runs(f, *h, s);
        // Short tasks fill one host after the other, so that some hosts stay empty and can move to
        // another pool or to standby at once. Long-running tasks are spread, so that few are lost
        // or moved together.
        const bool fills_up = !s.long_running && f.settings.placement.hosts == host_choice::fullest;
        const auto fill =
            cost_of_host(*h, required_resources(s), fills_up, f.settings.placement.packing);
        const auto cost = std::tuple(failed_here, suspect, far, near, disturbed, fill);
        if (best == nullptr || cost < lowest_cost)
        {
            best = h;
            lowest_cost = cost;
        }
    }
    return best;
}

/// Hosts only lose capacity while a plan is made, so what did not fit on any host of a pool will
/// not fit for the remaining steps of the plan. Without this, each of thousands of waiting steps
/// would be compared with all hosts of a full pool.
class unfit_needs
{
public:
    bool contains(const workflow::job& j, const workflow::step& s) const
    {
        const auto need = required_resources(s);
        const auto found = by_pool_.find(j.pool);
        return found != by_pool_.end() && std::any_of(found->second.begin(),
                                              found->second.end(),
                                              [&](const workflow::resources& it) {
                                                  return it.cpu <= need.cpu &&
                                                         it.memory_mb <= need.memory_mb &&
                                                         it.gpus <= need.gpus;
                                              });
    }

    /// Records that none of \p hosts takes a task of the step. If one of them has the capacity, the
    /// step has other requirements that it doesn't meet.
    void add(const workflow::job& j, const workflow::step& s, const std::vector<host_entry*>& hosts)
    {
        const auto need = required_resources(s);
        const bool by_capacity = std::none_of(
            hosts.begin(), hosts.end(), [&](const host_entry* h) { return fits(*h, need); });
        if (by_capacity && !contains(j, s))
        {
            by_pool_[j.pool].push_back(need);
        }
    }

private:
    std::map<std::string, std::vector<workflow::resources>> by_pool_;
};

bool may_start_beside_others(
    const fleet& f, const job_entry& j, const workflow::task_name& name, core::mono_time now)
{
    const auto rule = find_start_rule(f, j, name, now);
    return rule == start_rule::unrestricted || rule == start_rule::separated;
}

/// Starts as many tasks of the step as the hosts have capacity for.
void start_tasks(fleet& f,
    const waiting_step& w,
    const std::vector<host_entry*>& hosts,
    unfit_needs& unfit,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const auto& spec = j.spec.steps[static_cast<std::size_t>(w.step)];
    const int tasks = spec.tasks;
    const auto most = to.starts.size() + static_cast<std::size_t>(w.max_starts);
    for (int i = 0;
         i < tasks && step_of(j, w.occurrence, w.step).idle > 0 && to.starts.size() < most;
         ++i)
    {
        const workflow::task_name name{j.spec.id, w.occurrence, w.step, i};
        const auto& t = *find_task(f, name);
        if (t.progress.done || !t.runs.empty() || now < t.not_before ||
            !may_start_beside_others(f, j, name, now))
        {
            continue;
        }
        if (!fits_cap(f, j, spec.need))
        {
            record_capped_step(f, j);
            return;
        }
        if (!share_permits_start(f, j, spec))
        {
            return;
        }
        auto* const h =
            unfit.contains(j.spec, spec) ? nullptr : choose_host(f, hosts, j, name, t, now);
        if (h == nullptr)
        {
            unfit.add(j.spec, spec, hosts);
            return; // the other tasks of the step have the same requirements
        }
        if (to.remaining_orders <= 0)
        {
            to.truncated = true;
            return;
        }
        order_start(f, *h, j, name, next_run_number(t), now, to, out);
    }
}

void start_step(fleet& f,
    const waiting_step& w,
    const std::vector<host_entry*>& hosts,
    unfit_needs& unfit,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    const bool gang = w.job->spec.steps[static_cast<std::size_t>(w.step)].gang;
    if (!gang)
    {
        start_tasks(f, w, hosts, unfit, now, to, out);
    }
    else if (w.job->spec.steps[static_cast<std::size_t>(w.step)].tasks <= w.max_starts &&
             may_start_beside_others(f, *w.job, {w.job->spec.id, w.occurrence, w.step, 0}, now))
    {
        start_gang(f, w, hosts, now, to, out);
    }
}

/// Starts suspects before all other tasks, while there are empty hosts.
void start_suspects(fleet& f,
    const std::vector<waiting_step>& waiting,
    core::mono_time now,
    std::map<std::string, candidate_hosts>& pools,
    plan& to,
    task_events& out)
{
    for (const auto& it : waiting)
    {
        if (it.job->losses > 0 && !it.overdue && !to.truncated)
        {
            start_isolated_runs(f, it, pools[it.job->spec.pool], now, to, out);
        }
    }
    for (auto& [pool, hosts] : pools)
    {
        if (hosts.reserved_host != nullptr && hosts.available.size() > 1)
        {
            std::erase(hosts.available, hosts.reserved_host);
        }
    }
    std::erase_if(f.isolation_wait_since,
        [&](const auto& it)
        {
            const auto found = pools.find(it.first);
            return found == pools.end() || !found->second.suspect_waits;
        });
}

} // namespace

bool is_served_before(job_order order, const waiting_step& a, const waiting_step& b)
{
    const auto key = [order](const waiting_step& it)
    {
        if (order == job_order::first_come)
        {
            return std::tuple(
                !it.overdue, 0.0, false, false, false, false, 0, it.job->spec.accepted_unix_ms);
        }
        // When there is more work than capacity, serving in order of time would make all jobs late.
        // Jobs that can still be in time go first, so that some of them are.
        return std::tuple(!it.overdue,
            it.share,
            it.worthless,
            it.late,
            it.deferred,
            !it.started,
            it.job->spec.priority,
            it.due_unix_ms);
    };
    return key(a) < key(b);
}

plan make_plan(fleet& f,
    core::mono_time now,
    std::int64_t unix_ms,
    bool may_start,
    task_events& out,
    int max_orders)
{
    plan to;
    to.remaining_orders = max_orders;
    update_unseen_use(f, now);
    update_shares(f, now, unix_ms, out);
    if (f.settings.placement.forecasts)
    {
        update_forecasts(f, now, unix_ms, [&f](const job_entry& j) { return share_rank(f, j); });
    }
    stop_abandoned_starts(f, now, to);
    order_stops(f, now, to);
    if (!may_start)
    {
        return to;
    }
    auto waiting = all_waiting_steps(f, now, unix_ms);
    fail_crashing_jobs(f, waiting, now, out);
    auto pools = waiting.empty() ? std::map<std::string, candidate_hosts>{} : hosts_by_pool(f, now);
    unfit_needs unfit;
    start_suspects(f, waiting, now, pools, to, out);
    for (const auto& it : waiting)
    {
        if (to.truncated)
        {
            break; // steps later in the order of service would overtake
        }
        const auto& hosts = pools[it.job->spec.pool].available;
        const auto& need = it.job->spec.steps[static_cast<std::size_t>(it.step)].need;
        if (it.job->spec.needs_advice && fits_cap(f, *it.job, need))
        {
            auto ask = plan_advice_request(f, *it.job, it.occurrence, it.step, hosts, now);
            if (!ask.runners.empty())
            {
                to.advice_requests.push_back(std::move(ask));
            }
        }
        start_step(f, it, hosts, unfit, now, to, out);
    }
    return to;
}

void request_stop(fleet& f,
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
            record_event(out, "stop_wanted", task, run, it.host, reason);
        }
    }
}

namespace
{

/// A run on a host that does not answer may have ended with the host.
bool is_working(const fleet& f, const run_entry& it)
{
    constexpr int complete_percent = 100; // percent
    const auto h = f.hosts.find(it.host);
    return it.phase == run_phase::running && !it.may_be_stopping &&
           it.progress_percent >= complete_percent && h != f.hosts.end() && h->second.reachable;
}

} // namespace

int other_unavailable_tasks(const fleet& f, const job_entry& j, const workflow::task_name& task)
{
    int away = 0;
    const auto first = workflow::task_index(j.spec, task.occurrence, task.step, 0);
    const int tasks = j.spec.steps[static_cast<std::size_t>(task.step)].tasks;
    for (int i = 0; i < tasks; ++i)
    {
        const auto& runs = j.tasks[first + static_cast<std::size_t>(i)].runs;
        const bool works = std::any_of(
            runs.begin(), runs.end(), [&](const run_entry& it) { return is_working(f, it); });
        away += i != task.index && !works ? 1 : 0;
    }
    return away;
}

bool can_run_elsewhere(const fleet& f,
    const job_entry& j,
    const workflow::task_name& task,
    const std::string& excluded_host,
    core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(task.step)];
    return std::any_of(f.hosts.begin(),
        f.hosts.end(),
        [&](const auto& it)
        {
            const auto& h = it.second;
            return h.ref.id != excluded_host && h.pool == j.spec.pool && accepts_tasks(f, h, now) &&
                   can_run_step(h, j, task.occurrence, task.step, s);
        });
}

std::map<std::string, int> pending_jobs(const fleet& f)
{
    std::map<std::string, int> out;
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        // A run that is only ordered is no evidence of a start: its order may be unread or lost.
        const bool started = j.done_tasks > 0 || j.state != workflow::job_state::queued;
        if (!started && !workflow::is_scheduled(j.spec))
        {
            ++out[j.spec.queue];
        }
    }
    return out;
}

} // namespace camphorhitch::coordinator
