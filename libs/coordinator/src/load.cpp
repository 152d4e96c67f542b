#include "coordinator/load.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "starts.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// A reachable runner is polled at least three times within a lease, so two thirds of its lease
/// remain.
constexpr std::int64_t low_lease_divisor = 3;

std::int64_t count_waiting_tasks(const job_entry& j, std::int64_t unix_ms)
{
    std::int64_t n = 0;
    const auto steps = static_cast<int>(j.spec.steps.size());
    const auto occurrences = steps == 0 ? 0 : static_cast<int>(j.steps.size()) / steps;
    for (int k = 0; k < occurrences; ++k)
    {
        if (workflow::is_scheduled(j.spec) && occurrence_due_ms(j.spec, k) > unix_ms)
        {
            break; // later occurrences are due later
        }
        for (int s = 0; s < steps; ++s)
        {
            const auto idle = step_of(j, k, s).idle;
            n += idle > 0 && is_step_ready(j, k, s) ? idle : 0;
        }
    }
    return n;
}

bool is_only_ordered(const job_entry& j)
{
    const auto unanswered = [](const run_entry& it)
    {
        return it.phase == run_phase::ordered || it.phase == run_phase::unsettled;
    };
    return j.live_runs > 0 && j.done_tasks == 0 && j.state == workflow::job_state::queued &&
           !workflow::is_scheduled(j.spec) &&
           std::all_of(j.tasks.begin(),
               j.tasks.end(),
               [&](const task_entry& it)
               { return std::all_of(it.runs.begin(), it.runs.end(), unanswered); });
}

bool is_lease_low(const fleet& f, const host_entry& h, core::mono_time now)
{
    if (h.lease_until_ms == 0 || h.clock_ms < 0 || leases_expired(f, h, now))
    {
        return false;
    }
    const auto left = h.lease_until_ms - min_runner_clock(f, h, now);
    return left * low_lease_divisor < f.settings.runner_lease.count();
}

} // namespace

std::int64_t jobs_without_start_answer(const fleet& f)
{
    return std::count_if(f.open_jobs.begin(),
        f.open_jobs.end(),
        [&](const std::string& id) { return is_only_ordered(*f.jobs.at(id)); });
}

fleet_load measure_load(const fleet& f, core::mono_time now, std::int64_t unix_ms)
{
    fleet_load out;
    const auto unseen = find_unseen_run_pools(f, now);
    for (const auto& id : f.open_jobs)
    {
        const auto found = f.jobs.find(id);
        if (found != f.jobs.end() && !workflow::is_final(found->second->state))
        {
            const auto& j = *found->second;
            const auto waiting = count_waiting_tasks(j, unix_ms);
            out.tasks_waiting += waiting;
            const bool held =
                waiting > 0 && j.inherited && may_have_unseen_runs(unseen, j.spec.pool);
            out.jobs_held_back += held ? 1 : 0;
        }
    }
    out.jobs_without_start_answer = jobs_without_start_answer(f);
    out.jobs_dirty = static_cast<std::int64_t>(f.dirty_jobs.size());
    out.hosts = static_cast<std::int64_t>(f.hosts.size());
    for (const auto& [id, h] : f.hosts)
    {
        out.hosts_unresponsive += h.listed && !h.reachable ? 1 : 0;
        out.hosts_near_lease_expiry += is_lease_low(f, h, now) ? 1 : 0;
        out.hosts_unseen += h.inherited ? 1 : 0;
        if (!h.reachable)
        {
            const std::int64_t left = time_to_lease_expiry(f, h, now).count();
            out.longest_lease_ms = std::max(out.longest_lease_ms, left);
        }
    }
    return out;
}

std::optional<core::mono_time> task_ready_time(const fleet& f,
    const workflow::task_name& name,
    std::int64_t run,
    core::mono_time now,
    std::int64_t unix_ms)
{
    const auto found = f.jobs.find(name.job);
    if (found == f.jobs.end() || found->second->steps.empty())
    {
        return {};
    }
    const auto& j = *found->second;
    const auto first_run = f.term * f.settings.runs_per_term + 1;
    const auto since = std::max(j.added_at, step_of(j, name.occurrence, name.step).ready_at);
    if (run != first_run || since == core::mono_time{})
    {
        return {};
    }
    if (!workflow::is_scheduled(j.spec))
    {
        return since;
    }
    const auto age = core::millis{unix_ms - occurrence_due_ms(j.spec, name.occurrence)};
    return std::min(now, std::max(since, now - age));
}

} // namespace camphorhitch::coordinator
