#include "coordinator/load.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "starts.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// A sound runner is polled at least three times within a lease, so its lease keeps two thirds.
constexpr std::int64_t low_share = 3;

std::int64_t waiting_in(const job_entry& j, std::int64_t unix_ms)
{
    std::int64_t n = 0;
    const auto steps = static_cast<int>(j.spec.steps.size());
    const auto occurrences = steps == 0 ? 0 : static_cast<int>(j.steps.size()) / steps;
    for (int k = 0; k < occurrences; ++k)
    {
        if (workflow::is_scheduled(j.spec) && due_at(j.spec, k) > unix_ms)
        {
            break; // later ones are due later still
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
    if (h.lease_until_ms == 0 || h.clock_ms < 0 || has_lapsed(f, h, now))
    {
        return false;
    }
    const auto left = h.lease_until_ms - least_clock(f, h, now);
    return left * low_share < f.settings.runner_lease.count();
}

} // namespace

std::int64_t jobs_only_ordered(const fleet& f)
{
    return std::count_if(f.open_jobs.begin(),
        f.open_jobs.end(),
        [&](const std::string& id) { return is_only_ordered(*f.jobs.at(id)); });
}

fleet_load measure_load(const fleet& f, core::mono_time now, std::int64_t unix_ms)
{
    fleet_load out;
    for (const auto& id : f.open_jobs)
    {
        const auto found = f.jobs.find(id);
        if (found != f.jobs.end() && !workflow::is_final(found->second->state))
        {
            out.tasks_waiting += waiting_in(*found->second, unix_ms);
        }
    }
    out.jobs_only_ordered = jobs_only_ordered(f);
    out.jobs_dirty = static_cast<std::int64_t>(f.dirty_jobs.size());
    out.hosts = static_cast<std::int64_t>(f.hosts.size());
    for (const auto& [id, h] : f.hosts)
    {
        out.hosts_silent += h.listed && !h.reachable ? 1 : 0;
        out.hosts_lease_low += is_lease_low(f, h, now) ? 1 : 0;
    }
    return out;
}

std::optional<core::mono_time> ready_since(const fleet& f,
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
    const auto age = core::millis{unix_ms - due_at(j.spec, name.occurrence)};
    return std::min(now, std::max(since, now - age));
}

} // namespace camphorhitch::coordinator
