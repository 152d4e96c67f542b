/// \file
/// The one place that adds and removes runs, so that counts and room stay right.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// \return the job, or nullptr.
job_entry* find_job(fleet& f, const std::string& id);

/// \return the task's entry; nullptr when the job is unknown, final or lacks such a task.
task_entry* find_task(fleet& f, const workflow::task_name& name);

host_entry* find_host(fleet& f, const std::string& id);

step_entry& step_of(job_entry& j, int occurrence, int step);

const step_entry& step_of(const job_entry& j, int occurrence, int step);

/// \return whether all steps before are done.
bool is_step_ready(const job_entry& j, int occurrence, int step);

/// \return what one task of \p s takes of a host: filling tasks take no processor time of others.
workflow::resources room_of(const workflow::step& s);

bool fits(const host_entry& h, const workflow::resources& need);

/// \return runs of long-running steps on the host: each has to be moved before it can be taken
/// away.
int long_running_tasks(fleet& f, const host_entry& h);

/// \return whether the host's life may be ended: nothing of it is lost then. A host that nobody has
/// looked at in this term may still run what a former owner started. An end that is not stored yet
/// is known to this process only: were both to go, its task would run a second time.
bool is_empty(const host_entry& h);

/// Adds a run and takes its room.
run_entry& add_run(fleet& f, job_entry& j, const workflow::task_name& name, run_entry run);

/// Removes a run and gives its room back.
void remove_run(fleet& f, job_entry& j, const workflow::task_name& name, std::size_t place);

/// \return whether nothing runs on the host but the task and members of its own gang.
bool runs_only(const host_entry& h, const job_entry& j, const workflow::task_name& name);

/// The run is no trial any more; its host is open to others again.
void unwatch_run(host_entry& h, run_entry& run);

/// \return the place of the run in task_entry::runs, or its size.
std::size_t place_of_run(const task_entry& t, const std::string& host, std::int64_t number);

void mark_dirty(fleet& f, job_entry& j);

/// A runner has told of a run of the job, or of its end.
void note_begun(job_entry& j);

/// Sets a final state, and wants all runs stopped.
void finish_job(fleet& f, job_entry& j, workflow::job_state state, core::mono_time now);

void note(task_events& out,
    const char* what,
    const workflow::task_name& task,
    std::int64_t run,
    const std::string& host,
    std::string reason);

} // namespace camphorhitch::coordinator
