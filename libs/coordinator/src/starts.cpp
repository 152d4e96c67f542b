#include "starts.hpp"

#include "bookkeeping.hpp"
#include "core/invariant.hpp"
#include "lost_runs.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// \return number of runs of one step on one host, in any phase.
int runs_on_host(const host_entry& h, const job_entry& j, int occurrence, int step)
{
    int n = 0;
    for (const auto& [text, name] : h.runs)
    {
        if (name.occurrence != occurrence || name.step != step || name.job != j.spec.id)
        {
            continue;
        }
        const auto& runs = j.tasks[workflow::task_index(j.spec, occurrence, step, name.index)].runs;
        n += static_cast<int>(std::count_if(
            runs.begin(), runs.end(), [&](const run_entry& it) { return it.host == h.ref.id; }));
    }
    return n;
}

} // namespace

bool has_started(const job_entry& j)
{
    return j.done_tasks > 0 || j.live_runs > 0 || j.state == workflow::job_state::running;
}

bool accepts_tasks(const fleet& f, const host_entry& h, core::mono_time now)
{
    const auto unresponsive_after = f.settings.runner_lease;
    return h.listed && h.recorded && !h.draining && h.reachable && !h.inherited &&
           h.orphaned_runs == 0 && h.isolated_runs == 0 && !h.earlier_calls_token &&
           h.availability == host_availability::open &&
           now - h.last_answer_at < unresponsive_after && !f.abandoned_starts.contains(h.ref.id);
}

std::int64_t occurrence_due_ms(const workflow::job& j, int occurrence)
{
    if (!workflow::is_scheduled(j))
    {
        return j.accepted_unix_ms;
    }
    return j.timing.first_unix_ms + j.timing.interval_ms * occurrence;
}

bool has_label(const host_entry& h, const std::string& label)
{
    return label.empty() || std::find(h.labels.begin(), h.labels.end(), label) != h.labels.end();
}

bool can_run_step(
    const host_entry& h, const job_entry& j, int occurrence, int step, const workflow::step& s)
{
    return has_label(h, s.required_label) && fits(h, required_resources(s)) &&
           (s.max_per_host == 0 || runs_on_host(h, j, occurrence, step) < s.max_per_host);
}

bool has_required_ticket(
    const host_entry& h, const job_entry& j, int occurrence, int step, core::mono_time now)
{
    return !j.spec.needs_advice || find_ticket(j, occurrence, step, h.ref.id, now) != nullptr;
}

std::int64_t next_run_number(const task_entry& t)
{
    return t.highest_run_number + 1;
}

void order_start(fleet& f,
    host_entry& h,
    job_entry& j,
    const workflow::task_name& name,
    std::int64_t number,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& t = *find_task(f, name);
    const auto& s = j.spec.steps[static_cast<std::size_t>(name.step)];
    core::require(!t.progress.done, "a task that is done never starts");
    core::require(t.runs.empty() || s.speculative, "a task has one live run");
    core::require(
        s.long_running || static_cast<int>(t.progress.failed_runs.size()) < j.spec.max_attempts,
        "a task starts within its budget of attempts");
    core::require(is_step_ready(j, name.occurrence, name.step),
        "a step starts after the steps it depends on");
    core::require(
        fits_cap(f, j, s.need), "a workspace has no more running than its cap and one task");
    core::require(fits(h, required_resources(s)), "a host is never over its capacity");
    const auto rule = find_start_rule(f, j, name, now);
    core::require(rule != start_rule::withheld, "a withheld task never starts");
    run_entry run;
    run.after_loss = rule != start_rule::unrestricted;
    run.isolated = rule == start_rule::isolated;
    run.only_suspect = run.isolated && (h.runs_after_loss == 0 || runs_nothing_else(h, j, name));
    run.number = number;
    run.host = h.ref.id;
    run.ordered_at = now;
    run.phase_changed_at = now;
    run.resumed = !t.progress.checkpoint.empty();
    add_run(f, j, name, run);
    --to.remaining_orders;
    const auto* const ticket =
        j.spec.needs_advice ? find_ticket(j, name.occurrence, name.step, h.ref.id, now) : nullptr;
    to.starts.push_back({h.ref,
        name,
        number,
        j.spec.payload,
        t.progress.checkpoint,
        ticket == nullptr ? std::string{} : *ticket});
    record_event(out,
        "start_ordered",
        name,
        number,
        h.ref.id,
        "used_cpu=" + std::to_string(h.used.cpu) + " of=" + std::to_string(h.capacity.cpu) +
            (t.progress.checkpoint.empty() ? "" : " resumes=1") + (run.isolated ? " trial=1" : ""));
}

} // namespace camphorhitch::coordinator
