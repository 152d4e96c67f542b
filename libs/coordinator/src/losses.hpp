/// \file
/// Runs that went with their runner's life: a task may have crashed it. What is counted, how such a
/// task may start again, and when its job is given up.
#pragma once

#include "coordinator/fleet.hpp"

#include <optional>

namespace camphorhitch::coordinator
{

/// How the tasks of a step, or one of them, may start.
enum class start_rule
{
    open,    ///< anywhere
    watched, ///< apart from others where there is room: one run was lost
    alone,   ///< on a host of its own: two were, so it is a suspect
    withheld ///< not now
};

/// \return how the task may start; all members of a gang may start alike.
start_rule rule_of(
    const fleet& f, const job_entry& j, const workflow::task_name& name, core::mono_time now);

/// Takes note of a run that ended with its runner's life, or may have. A run that was being
/// stopped, that has worked long enough to be no suspect, or on a host that is about to leave
/// counts for nothing. The job is given up when the task has certainly crashed its runners.
/// \param run as it was; it is removed already
/// \param proof what shows the end; empty: the leases have ended unheard, so it is only possible
void lose_run(fleet& f,
    job_entry& j,
    const workflow::task_name& name,
    const run_entry& run,
    const host_entry& h,
    const std::string& proof,
    core::mono_time now,
    task_events& out);

/// The runner's life has ended by itself: what may have been lost with it certainly was.
void confirm_losses(fleet& f,
    const std::string& host,
    const std::string& proof,
    core::mono_time now,
    task_events& out);

/// The runner's life goes on: nothing was lost with it.
void withdraw_losses(fleet& f, const std::string& host, task_events& out);

/// The run works still, so long after its start that the task is no suspect any more.
void clear_if_proven(fleet& f,
    host_entry& h,
    job_entry& j,
    const workflow::task_name& name,
    run_entry& run,
    task_events& out);

/// What a former owner stored of lost runs, of a job that was just taken in. The task may have been
/// started again since, and lost again, unseen.
void inherit_losses(fleet& f, job_entry& j);

/// A run of the task after those that were lost has come into view.
void see_later_run(task_entry& t, std::int64_t run);

/// Enters the task's next start, a trial, among its lost runs, to be stored before it is ordered.
void reserve_trial(fleet& f, job_entry& j, task_entry& t, std::int64_t number);

/// The trial was entered by a former owner, and runs.
void adopt_trial(task_entry& t, std::int64_t run);

/// The trial is over, and nothing was lost with it.
void release_trial(fleet& f, job_entry& j, task_entry& t, std::int64_t run);

/// Forgets which runners' ends matter, where no task of an open job waits for it any more.
void sweep_doubts(fleet& f);

/// \return why tasks of the step are held back or tried alone; empty: none is.
std::string describe_losses(
    const fleet& f, const job_entry& j, int occurrence, int step, core::mono_time now);

} // namespace camphorhitch::coordinator
