#include "run_ends.hpp"

#include "bookkeeping.hpp"
#include "checkpoints.hpp"
#include "forecast_input.hpp"
#include "lost_runs.hpp"
#include "workflow/records.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// Bound of host_entry::recent_failures.
constexpr int max_recent_failures = 8;

void complete_if_done(fleet& f, job_entry& j, core::mono_time now, task_events& out)
{
    if (j.done_tasks == j.tasks.size() && !workflow::is_final(j.state))
    {
        out.push_back({"job_completed", j.spec.id, 0, "", "all tasks finished"});
        record_forecast_error(f, j, now);
        finish_job(f, j, workflow::job_state::completed, now);
    }
}

/// Records when the steps became ready whose last unfinished dependency was \p done.
void record_ready_steps(job_entry& j, int occurrence, int done, core::mono_time now)
{
    for (std::size_t i = 0; i < j.spec.steps.size(); ++i)
    {
        const auto& before = j.spec.steps[i].depends_on;
        const auto step = static_cast<int>(i);
        if (std::find(before.begin(), before.end(), done) != before.end() &&
            is_step_ready(j, occurrence, step))
        {
            step_of(j, occurrence, step).ready_at = now;
        }
    }
}

void mark_task_done(fleet& f, job_entry& j, const workflow::task_name& name, core::mono_time now)
{
    auto& t = *find_task(f, name);
    if (t.progress.done)
    {
        return;
    }
    auto& counts = step_of(j, name.occurrence, name.step);
    if (t.runs.empty())
    {
        --counts.idle;
    }
    t.progress.done = true;
    t.progress.checkpoint.clear();
    ++counts.done;
    ++j.done_tasks;
    mark_dirty(f, j);
    if (counts.done == j.spec.steps[static_cast<std::size_t>(name.step)].tasks)
    {
        record_ready_steps(j, name.occurrence, name.step, now);
    }
}

/// Stops the other runs of a finished task: copies, or runs of members of its gang.
void stop_runs(task_entry& t, core::mono_time now)
{
    for (auto& it : t.runs)
    {
        if (it.phase != run_phase::stopping)
        {
            it.phase = run_phase::stopping;
            it.phase_changed_at = now;
        }
    }
}

void end_done(
    fleet& f, job_entry& j, const workflow::task_name& name, core::mono_time now, task_events& out)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
    if (s.long_running)
    {
        return; // long-running tasks are started again
    }
    mark_task_done(f, j, name, now);
    stop_runs(*find_task(f, name), now);
    if (s.gang)
    {
        // The end of one member counts for all members; the other runs end by themselves.
        for (int i = 0; i < s.tasks; ++i)
        {
            mark_task_done(f, j, {name.job, name.occurrence, name.step, i}, now);
        }
    }
    complete_if_done(f, j, now, out);
}

void end_failed(fleet& f,
    job_entry& j,
    const workflow::task_name& name,
    const ports::reported_end& end,
    core::mono_time now,
    task_events& out)
{
    auto& t = *find_task(f, name);
    if (j.spec.steps[static_cast<std::size_t>(name.step)].long_running)
    {
        return; // long-running tasks are started again after any number of failures
    }
    if (t.progress.done)
    {
        return; // another run has done the task's work
    }
    auto& failed = t.progress.failed_runs;
    if (std::find(failed.begin(), failed.end(), end.run) != failed.end())
    {
        return; // the end was reported before, to this coordinator or to a previous one
    }
    failed.push_back(end.run);
    mark_dirty(f, j);
    if (static_cast<int>(failed.size()) >= j.spec.max_attempts)
    {
        out.push_back({"job_failed",
            j.spec.id,
            0,
            "",
            "task=" + end.task + " failures=" + std::to_string(failed.size())});
        finish_job(f, j, workflow::job_state::failed, now);
    }
}

/// The run numbers of a term start above all earlier ones, so a highest_run_number above \p run
/// doesn't show by itself that a newer run was ordered. If it counted as such, the end of a
/// previous coordinator's run would seem outdated, and its task would run again.
/// \return whether this coordinator has ordered a run of the task with a higher number.
bool has_newer_run(const fleet& f, const task_entry& t, std::int64_t run)
{
    return run < t.highest_run_number && t.highest_run_number > f.term * f.settings.runs_per_term;
}

void score_host(host_entry& h, ports::run_end how)
{
    if (how == ports::run_end::failed)
    {
        h.recent_failures = std::min(h.recent_failures + 1, max_recent_failures);
    }
    else if (how == ports::run_end::done)
    {
        h.recent_failures = std::max(h.recent_failures - 1, 0);
    }
}

} // namespace

void apply_run_end(
    fleet& f, host_entry& h, const ports::reported_end& end, core::mono_time now, task_events& out)
{
    const auto read = workflow::read_task_name(end.task);
    const auto* const name = std::get_if<workflow::task_name>(&read);
    std::erase_if(f.orphaned_runs,
        [&](const orphaned_run& it)
        { return it.host == h.ref.id && it.task == end.task && it.number == end.run; });
    auto* const t = name == nullptr ? nullptr : find_task(f, *name);
    out.push_back({"run_ended",
        end.task,
        end.run,
        h.ref.id,
        "how=" + std::string{core::name_of(ports::run_end_names, end.outcome)} +
            " end=" + std::to_string(end.number) + (t == nullptr ? " task=unknown" : "")});
    if (t == nullptr)
    {
        return;
    }
    auto& j = *find_job(f, name->job);
    mark_job_started(j);
    const auto index = run_index(*t, h.ref.id, end.run);
    if (index < t->runs.size())
    {
        const auto& run = t->runs[index];
        const bool records_time = f.settings.placement.uses_measured_run_times;
        if (records_time && end.outcome == ports::run_end::done && !run.adopted && !run.resumed)
        {
            const auto duration = std::chrono::duration_cast<core::millis>(now - run.ordered_at);
            record_run_time(f.run_time_estimates,
                j.spec.steps[static_cast<std::size_t>(name->step)].image,
                duration);
        }
        remove_run(f, j, *name, index, now);
    }
    else if (!t->runs.empty() || has_newer_run(f, *t, end.run))
    {
        // This run was abandoned when its leases had expired, and the task was started again. The
        // newer run counts: if the old result were applied now, two runs of one task could both
        // take effect.
        if (!h.inherited)
        {
            return;
        }
    }
    apply_later_run(*t, end.run);
    release_isolated_run(f, j, *t, end.run);
    score_host(h, end.outcome);
    record_checkpoint(j, *name, end.run, end.checkpoint);
    if (workflow::is_final(j.state))
    {
        return;
    }
    if (end.outcome == ports::run_end::done)
    {
        end_done(f, j, *name, now, out);
    }
    else if (end.outcome == ports::run_end::failed)
    {
        t->failed_on.push_back(h.ref.id);
        end_failed(f, j, *name, end, now, out);
    }
}

} // namespace camphorhitch::coordinator
