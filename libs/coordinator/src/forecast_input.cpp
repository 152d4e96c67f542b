#include "forecast_input.hpp"

#include "bookkeeping.hpp"
#include "starts.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0; ///< thousandths of a core, milliseconds in a second
/// A run that has taken longer than expected is expected to need this share of its expected run
/// time still.
constexpr double min_remaining_share = 0.1;
/// A host whose expected arrival has passed is expected after this time.
constexpr core::millis overdue_arrival{300};

struct pool_input
{
    double cores = 0; ///< of usable hosts, without what long-running tasks occupy
    std::vector<forecast_job> jobs;
};

/// State of the computation.
struct forecast_input
{
    std::map<std::string, pool_input, std::less<>> pools;
    /// Runners with runs that accept no tasks: their runs do not occupy the capacity of the pool.
    std::unordered_set<std::string_view> unusable_hosts;
    /// By step: expected end, in milliseconds from now. Kept to avoid allocations for each job.
    std::vector<double> ends;
    std::vector<double> whole_ends; ///< as ends, counted from the start of the first step
};

/// What is left of one step of one occurrence.
struct step_remainder
{
    double core_ms = 0; ///< of the tasks that do not run
    double running_cores = 0;
    double running_core_ms = 0;
    double longest = 0; ///< milliseconds until its tasks are done, if they start at once
};

step_remainder remaining_of_step(const forecast_input& in,
    const job_entry& j,
    int occurrence,
    int step,
    double run_time,
    core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(step)];
    const auto& counts = step_of(j, occurrence, step);
    const double cores = static_cast<double>(required_resources(s).cpu) / milli;
    step_remainder out;
    out.core_ms = cores * counts.idle * run_time;
    out.longest = counts.idle > 0 ? run_time : 0;
    if (counts.done + counts.idle == s.tasks)
    {
        return out;
    }
    const auto first = workflow::task_index(j.spec, occurrence, step, 0);
    for (std::size_t i = first; i < first + static_cast<std::size_t>(s.tasks); ++i)
    {
        for (const auto& run : j.tasks[i].runs)
        {
            const double elapsed =
                std::chrono::duration<double, std::milli>(now - run.ordered_at).count();
            // A run that is being stopped leaves its task to be run again.
            const double left = run.phase == run_phase::stopping
                                    ? run_time
                                    : std::max(run_time - elapsed, run_time * min_remaining_share);
            out.longest = std::max(out.longest, left);
            if (in.unusable_hosts.empty() || !in.unusable_hosts.contains(run.host))
            {
                out.running_cores += cores;
                out.running_core_ms += cores * left;
            }
        }
    }
    return out;
}

/// Latest end of the steps that the step depends on.
double begin_of(const std::vector<int>& depends_on, const std::vector<double>& ends)
{
    double begin = 0;
    for (const int it : depends_on)
    {
        begin = std::max(begin, ends[static_cast<std::size_t>(it)]);
    }
    return begin;
}

/// Adds the work of one occurrence.
/// \param running_core_ms adds the work of its runs
/// \return the objective of the job, in milliseconds from the time when the occurrence is due.
double add_occurrence(const fleet& f,
    forecast_input& in,
    const job_entry& j,
    int occurrence,
    core::mono_time now,
    forecast_job& to,
    double& running_core_ms)
{
    const auto n = j.spec.steps.size();
    in.ends.assign(n, 0);
    in.whole_ends.assign(n, 0);
    double chain = 0;
    double whole_chain = 0;
    double core_ms = 0;
    double ready_in = -1;
    for (std::size_t i = 0; i < n; ++i)
    {
        const auto& s = j.spec.steps[i];
        const auto run_time =
            static_cast<double>(expected_run_time(f.run_time_estimates, s).count());
        in.whole_ends[i] = begin_of(s.depends_on, in.whole_ends) + run_time;
        whole_chain = std::max(whole_chain, in.whole_ends[i]);
        if (s.long_running)
        {
            continue;
        }
        const auto left = remaining_of_step(in, j, occurrence, static_cast<int>(i), run_time, now);
        const double begin = begin_of(s.depends_on, in.ends);
        in.ends[i] = left.longest > 0 ? begin + left.longest : begin;
        chain = std::max(chain, in.ends[i]);
        core_ms += left.core_ms;
        to.running_cores += left.running_cores;
        running_core_ms += left.running_core_ms;
        if (left.core_ms > 0)
        {
            ready_in = ready_in < 0 ? begin : std::min(ready_in, begin);
        }
    }
    to.core_seconds += core_ms / milli;
    to.ready_in = core::millis{static_cast<std::int64_t>(std::max(ready_in, 0.0))};
    to.critical_path = core::millis{static_cast<std::int64_t>(chain)};
    return whole_chain * j.spec.stretch + static_cast<double>(j.spec.slack.count());
}

bool is_open(const job_entry& j, int occurrence)
{
    for (int s = 0; s < static_cast<int>(j.spec.steps.size()); ++s)
    {
        const auto& spec = j.spec.steps[static_cast<std::size_t>(s)];
        if (!spec.long_running && step_of(j, occurrence, s).done < spec.tasks)
        {
            return true;
        }
    }
    return false;
}

double cap_of(const fleet& f, const std::string& workspace)
{
    if (workspace.empty())
    {
        return 0;
    }
    const auto found = f.workspaces.entries.find(workspace);
    return found == f.workspaces.entries.end()
               ? 0
               : static_cast<double>(found->second.settings.cap.cpu) / milli;
}

/// Adds the work of the occurrences that are due. The newest of them determines when the job is
/// due: while an earlier one is late, later ones may still be in time.
void add_job(const fleet& f,
    forecast_input& in,
    job_entry& j,
    double share,
    core::mono_time now,
    std::int64_t unix_ms)
{
    forecast_job it;
    bool open = false;
    double running_core_ms = 0;
    for (int k = 0; k < workflow::occurrence_count(j.spec); ++k)
    {
        const auto due = occurrence_due_ms(j.spec, k);
        if (workflow::is_scheduled(j.spec) && due > unix_ms)
        {
            break;
        }
        if (!is_open(j, k))
        {
            continue;
        }
        open = true;
        const double objective = add_occurrence(f, in, j, k, now, it, running_core_ms);
        const auto begin = now + core::millis{due - unix_ms};
        const auto span = core::millis{static_cast<std::int64_t>(objective)};
        it.waits_since = begin;
        it.due = begin + span;
        it.worthless_from = begin + span * worthless_after_objectives;
    }
    if (!open)
    {
        return;
    }
    it.id = j.spec.id;
    it.running_time = core::millis{
        it.running_cores > 0 ? static_cast<std::int64_t>(running_core_ms / it.running_cores) : 0};
    it.priority = j.spec.priority;
    it.share = share;
    it.started = has_started(j);
    it.workspace = j.spec.workspace;
    it.cap_cores = cap_of(f, j.spec.workspace);
    it.admitted = j.forecast.outlook == job_outlook::in_time;
    j.forecast.due = it.due;
    j.forecast.latest_start = latest_end(it, f.settings.forecast) - it.critical_path;
    in.pools[j.spec.pool].jobs.push_back(std::move(it));
}

/// Subtracts what the long-running tasks of the job occupy on usable hosts.
void subtract_long_running(forecast_input& in, const job_entry& j)
{
    for (std::size_t i = 0; i < j.tasks.size() && j.live_runs > 0; ++i)
    {
        if (j.tasks[i].runs.empty())
        {
            continue;
        }
        const auto name = workflow::name_of_task(j.spec, i);
        const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
        for (const auto& run : j.tasks[i].runs)
        {
            if (s.long_running && !in.unusable_hosts.contains(run.host))
            {
                in.pools[j.spec.pool].cores -=
                    static_cast<double>(required_resources(s).cpu) / milli;
            }
        }
    }
}

void add_hosts(const fleet& f, forecast_input& in, core::mono_time now)
{
    for (const auto& [id, h] : f.hosts)
    {
        if (accepts_tasks(f, h, now))
        {
            in.pools[h.pool].cores += static_cast<double>(h.capacity.cpu) / milli;
        }
        else if (!h.runs.empty())
        {
            in.unusable_hosts.insert(id);
        }
    }
}

std::vector<capacity_step> capacity_of(
    const fleet& f, const std::string& pool, double cores, core::mono_time now)
{
    std::vector<capacity_step> out{{now, std::max(cores, 0.0)}};
    const auto found = f.arriving_capacity.find(pool);
    if (found == f.arriving_capacity.end())
    {
        return out;
    }
    auto arriving = found->second;
    for (auto& it : arriving)
    {
        it.from = std::max(it.from, now + overdue_arrival);
    }
    std::sort(arriving.begin(),
        arriving.end(),
        [](const auto& a, const auto& b) { return a.from < b.from; });
    for (const auto& it : arriving)
    {
        out.push_back({it.from, out.back().cores + it.cores});
    }
    return out;
}

void set_outlooks(fleet& f, const pool_forecast& forecast)
{
    for (const auto& [id, outlook] : forecast.jobs)
    {
        auto& it = f.jobs.at(id)->forecast;
        it.outlook = outlook;
        it.first_outlook = it.first_outlook.value_or(outlook);
    }
}

bool has_long_running_steps(const job_entry& j)
{
    return std::any_of(j.spec.steps.begin(),
        j.spec.steps.end(),
        [](const workflow::step& it) { return it.long_running; });
}

} // namespace

void update_forecasts(fleet& f,
    core::mono_time now,
    std::int64_t unix_ms,
    const std::function<double(const job_entry&)>& share_rank)
{
    forecast_input in;
    add_hosts(f, in, now);
    for (const auto& id : f.open_jobs)
    {
        auto& j = *f.jobs.at(id);
        if (has_long_running_steps(j))
        {
            subtract_long_running(in, j);
        }
        if (!workflow::is_final(j.state))
        {
            add_job(f, in, j, share_rank(j), now, unix_ms);
            j.forecast.outlook.reset();
        }
    }
    f.forecasts.clear();
    for (auto& [pool, it] : in.pools)
    {
        auto forecast = forecast_pool(
            std::move(it.jobs), capacity_of(f, pool, it.cores, now), f.settings.forecast, now);
        set_outlooks(f, forecast);
        f.forecasts.emplace(pool, std::move(forecast));
    }
}

void record_forecast_error(fleet& f, const job_entry& j, core::mono_time now)
{
    if (!j.forecast.first_outlook)
    {
        return;
    }
    const bool expected = *j.forecast.first_outlook == job_outlook::in_time;
    const bool in_time = now <= j.forecast.due;
    auto& it = f.forecast_errors[j.spec.pool];
    it.in_time_missed += expected && !in_time ? 1 : 0;
    it.late_made += !expected && in_time ? 1 : 0;
}

} // namespace camphorhitch::coordinator
