#include "host_release.hpp"

#include "bookkeeping.hpp"
#include "coordinator/learning.hpp"
#include "coordinator/placement.hpp"

namespace camphorhitch::coordinator
{

namespace
{

/// From the wish to the work going on elsewhere: the stop, its report, a new start and the
/// restoring of the checkpoint.
constexpr core::millis pause_of_a_stop{1000};

/// \return the time that the run still needs by what is known of its kind.
core::micros rest_of(
    const fleet& f, const workflow::step& s, const run_entry& it, core::mono_time now)
{
    return expected_time(f.run_time_estimates, s) - (now - it.ordered_at);
}

/// \return how long the job's remaining steps may still be held up.
core::micros slack_of(const fleet& f,
    const job_entry& j,
    const workflow::task_name& name,
    const run_entry& it,
    core::mono_time now)
{
    const auto due = j.added_at + objective_of(f.run_time_estimates, j.spec);
    const auto passed = now - it.ordered_at;
    return due - now - (time_to_end(f.run_time_estimates, j.spec.steps, name.step) - passed);
}

} // namespace

void stop_resumable_tasks(
    fleet& f, const host_entry& h, core::millis longest, core::mono_time now, task_events& out)
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
            if (here && rest_of(f, s, it, now) > longest &&
                slack_of(f, j, name, it, now) > pause_of_a_stop)
            {
                want_stop(f, name, it.number, now, "another pool waits for its host", out);
            }
        }
    }
}

} // namespace camphorhitch::coordinator
