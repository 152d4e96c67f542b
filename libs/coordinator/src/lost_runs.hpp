/// \file
/// Runs that were lost when their runner ended: their task may have crashed it. Defines which runs
/// are counted, how such a task may start again, and when its job fails.
#pragma once

#include "coordinator/fleet.hpp"
#include "starts.hpp"

#include <optional>

namespace camphorhitch::coordinator
{

/// How a task may start.
enum class start_rule
{
    unrestricted, ///< on any host
    separated,    ///< after one lost run: away from other tasks where capacity allows
    /// After two lost runs: the task is a suspect and starts on a host without other tasks.
    isolated,
    withheld ///< not at present
};

/// \return how the task may start; all members of a gang may start alike.
start_rule find_start_rule(
    const fleet& f, const job_entry& j, const workflow::task_name& name, core::mono_time now);

/// Fails the jobs of waiting tasks that have crashed the runner at each of their starts, and
/// removes the steps of these jobs. Only tasks that would start now are considered: while a task
/// has a run, or may have one that a previous coordinator started, that run decides.
void fail_crashing_jobs(
    fleet& f, std::vector<waiting_step>& waiting, core::mono_time now, task_events& out);

/// Counts a run that ended together with its runner, or may have. A run doesn't count when it was
/// being stopped, when it was active for long enough to show that the task crashes no host, or when
/// its host was about to leave.
/// \param run copy of the run; it is removed from the task already
/// \param proof evidence of the end; empty: the leases expired without an answer, so the loss is
/// only possible
void record_lost_run(fleet& f,
    job_entry& j,
    const workflow::task_name& name,
    const run_entry& run,
    const host_entry& h,
    const std::string& proof,
    core::mono_time now,
    task_events& out);

/// Marks the uncertain losses of a runner as certain, after the runner has ended without an order.
void confirm_losses(fleet& f, const std::string& host, const std::string& proof, task_events& out);

/// Removes the uncertain losses of a runner that answers again: nothing was lost with it.
void withdraw_losses(fleet& f, const std::string& host, task_events& out);

/// Keeps the uncertain losses of a runner uncertain, since an order has ended it: it may have been
/// active until then. Without that, the next coordinator would take its successor for evidence.
void abandon_evidence(fleet& f, const std::string& host);

/// Clears the losses of a task whose run has been active for so long that the task is no suspect
/// any more.
void clear_losses_if_proven(fleet& f,
    host_entry& h,
    job_entry& j,
    const workflow::task_name& name,
    run_entry& run,
    task_events& out);

/// Reads the lost runs that a previous coordinator stored with a job that was just added. That
/// coordinator may have started the task again, and the run may have been lost unseen.
void inherit_losses(fleet& f, job_entry& j);

/// Applies a run of the task that is newer than its lost runs: there is no unseen start then.
void apply_later_run(task_entry& t, std::int64_t run);

/// Stores the task's next start, an isolated run, among its lost runs before it is ordered, so that
/// the next coordinator counts it if it crashes its host.
void reserve_isolated_run(fleet& f, job_entry& j, task_entry& t, std::int64_t number);

/// Takes over the reservation of an active isolated run that a previous coordinator reserved.
void adopt_isolated_run(task_entry& t, std::int64_t run);

/// Removes the reservation of an isolated run that ended without the loss of its host.
void release_isolated_run(fleet& f, job_entry& j, task_entry& t, std::int64_t run);

/// \return for the log, the numbers of the task's losses by kind, its reserved run and its active
/// run; 0: there is none.
std::string summarize_losses(const task_entry& t);

/// Removes uncertain losses whose outcome no task of an open job depends on any more.
void remove_irrelevant_losses(fleet& f);

/// \return why tasks of the step are withheld or start in isolation; empty: none is.
std::string describe_losses(
    const fleet& f, const job_entry& j, int occurrence, int step, core::mono_time now);

} // namespace camphorhitch::coordinator
