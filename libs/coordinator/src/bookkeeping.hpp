/// \file
/// Adds and removes runs, and keeps the counts and the used capacity consistent with them. No other
/// code adds or removes runs.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// \return the job, or nullptr when it is unknown.
job_entry* find_job(fleet& f, const std::string& id);

/// \return the task's entry; nullptr when the job is unknown, final or lacks such a task.
task_entry* find_task(fleet& f, const workflow::task_name& name);

/// \return the host, or nullptr when it is unknown.
host_entry* find_host(fleet& f, const std::string& id);

/// \return the step of the task, as it was submitted.
const workflow::step& step_spec(const job_entry& j, const workflow::task_name& name);

/// \return the counts of the step.
step_entry& step_of(job_entry& j, int occurrence, int step);

const step_entry& step_of(const job_entry& j, int occurrence, int step);

/// \return whether all steps that the step depends on are done.
bool is_step_ready(const job_entry& j, int occurrence, int step);

/// \return the capacity that one task of \p s occupies on a host: best-effort tasks occupy no
/// processor time.
workflow::resources required_resources(const workflow::step& s);

/// \return whether the free capacity of the host suffices for \p need.
bool fits(const host_entry& h, const workflow::resources& need);

/// \return number of runs of long-running steps on the host; each must move before the host can be
/// taken away.
int long_running_tasks(const fleet& f, const host_entry& h);

/// Adds the host's unanswered call to its contact_score if another runner has answered a call that
/// was sent while it was open.
void count_unanswered_call(const fleet& f, host_entry& h);

/// \return whether the runner may be ended without loss. An inherited host that was not polled in
/// this term may still run tasks that a previous coordinator started. An end that is not stored yet
/// is known to this process only: if both the runner and this process ended, its task would run a
/// second time.
bool is_empty(const host_entry& h);

/// Adds a run, occupies its capacity and charges it to the accounts of shares.
run_entry& add_run(fleet& f, job_entry& j, const workflow::task_name& name, run_entry run);

/// Removes the run at \p index of task_entry::runs, frees its capacity and corrects its charge.
void remove_run(fleet& f,
    job_entry& j,
    const workflow::task_name& name,
    std::size_t index,
    core::mono_time now);

/// Moves a run to another host, with the capacity that it occupies.
void move_run(const job_entry& j,
    const workflow::task_name& name,
    run_entry& run,
    host_entry& from,
    host_entry& to);

/// \return whether the host runs nothing except the task and members of its gang.
bool runs_nothing_else(const host_entry& h, const job_entry& j, const workflow::task_name& name);

/// Clears after_loss and isolated of a run, so that its host accepts other tasks again.
void clear_loss_flags(host_entry& h, run_entry& run);

/// \return the index of the run in task_entry::runs, or the size of that vector when it is not
/// there.
std::size_t run_index(const task_entry& t, const std::string& host, std::int64_t number);

/// Marks the progress of the job as to be stored.
void mark_dirty(fleet& f, job_entry& j);

/// Sets a queued job to running, after a runner has reported a run of the job or its end.
void mark_job_started(job_entry& j);

/// Sets a final state, and marks all runs of the job as stopping.
void finish_job(fleet& f, job_entry& j, workflow::job_state state, core::mono_time now);

/// Adds an event about a task to \p out.
void record_event(task_events& out,
    const char* what,
    const workflow::task_name& task,
    std::int64_t run,
    const std::string& host,
    std::string reason);

} // namespace camphorhitch::coordinator
