#include "host_release.hpp"

#include "bookkeeping.hpp"
#include "coordinator/placement.hpp"
#include "coordinator/run_time_estimates.hpp"

namespace camphorhitch::coordinator
{

namespace
{

/// Time from the request of the stop until the task works on another host: the stop, its report, a
/// new start and the restoring of the checkpoint.
constexpr core::millis stop_overhead{1000};

/// \return the time that the run still needs, by the expected run time of its step.
core::micros remaining_run_time(
    const fleet& f, const workflow::step& s, const run_entry& it, core::mono_time now)
{
    return expected_run_time(f.run_time_estimates, s) - (now - it.ordered_at);
}

/// \return how long the remaining steps of the job may still be delayed.
core::micros job_slack(const fleet& f,
    const job_entry& j,
    const workflow::task_name& name,
    const run_entry& it,
    core::mono_time now)
{
    const auto due = j.added_at + completion_objective(f.run_time_estimates, j.spec);
    const auto passed = now - it.ordered_at;
    return due - now -
           (expected_remaining_time(f.run_time_estimates, j.spec.steps, name.step) - passed);
}

} // namespace

void stop_resumable_tasks(fleet& f,
    const host_entry& h,
    core::millis max_remaining,
    core::mono_time now,
    task_events& out)
{
    for (const auto& [text, name] : h.runs)
    {
        const auto& j = *find_job(f, name.job);
        const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
        if (!s.checkpoints || s.long_running || s.gang)
        {
            continue;
        }
        const auto* const t = find_task(f, name);
        if (t == nullptr)
        {
            continue; // the job is final: its runs are being stopped
        }
        for (const auto& it : t->runs)
        {
            const bool here = it.host == h.ref.id && it.phase == run_phase::running;
            if (here && remaining_run_time(f, s, it, now) > max_remaining &&
                job_slack(f, j, name, it, now) > stop_overhead)
            {
                request_stop(f, name, it.number, now, "another pool needs its host", out);
            }
        }
    }
}

} // namespace camphorhitch::coordinator
