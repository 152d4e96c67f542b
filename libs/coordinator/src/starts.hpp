/// \file
/// Functions that the placement of single tasks and of gangs share: which hosts may run a task, and
/// the start order itself.
#pragma once

#include "coordinator/placement.hpp"

namespace camphorhitch::coordinator
{

/// A step with waiting tasks, in the order in which steps are served.
struct waiting_step
{
    job_entry* job = nullptr;
    int occurrence = 0;
    int step = 0;
    bool worthless = false; ///< so late that finishing it has no value any more
    bool late = false; ///< can't meet its objective any more, so that finishing it has little value
    std::int64_t due_unix_ms = 0; ///< wall time of its objective
    double share = 0;             ///< rank by its workspace's share; lower ranks are served first
    /// By the forecast the pool lacks the capacity to complete the job in time. It comes before
    /// jobs that can't be in time anyway, since the forecast may be too low after a takeover.
    bool deferred = false;
    bool started = false; ///< by the forecast: the job keeps its place before jobs that have not
    /// It has waited too long as late work, and is served before all others within max_starts.
    bool overdue = false;
    int max_starts = std::numeric_limits<int>::max(); ///< tasks that may start in this plan
};

/// A completed job has no value after this multiple of its objective.
inline constexpr std::int64_t worthless_after_objectives = 3;

/// \return whether \p a is served before \p b.
bool is_served_before(job_order order, const waiting_step& a, const waiting_step& b);

/// \return whether some task of the job was started.
bool has_started(const job_entry& j);

/// \return whether the host accepts new tasks: it is listed, answers, is recorded for the next
/// coordinator, was polled in this term, has no abandoned start and no orphaned or isolated run,
/// and is neither closed nor about to leave.
bool accepts_tasks(const fleet& f, const host_entry& h, core::mono_time now);

/// \return the wall time in milliseconds from which on the occurrence may start.
std::int64_t occurrence_due_ms(const workflow::job& j, int occurrence);

/// \return whether the host has the label; an empty label is on every host.
bool has_label(const host_entry& h, const std::string& label);

/// \return whether the labels and the free capacity of the host and the step's max_per_host allow
/// one more task of the step. Tickets are checked by has_required_ticket.
bool can_run_step(
    const host_entry& h, const job_entry& j, int occurrence, int step, const workflow::step& s);

/// \return whether the job needs no advice, or has a valid ticket for the host.
bool has_required_ticket(
    const host_entry& h, const job_entry& j, int occurrence, int step, core::mono_time now);

/// \return the number of the task's next run.
std::int64_t next_run_number(const task_entry& t);

/// Adds a start order to the plan and records the run. Asserts the invariants of starts.
void order_start(fleet& f,
    host_entry& h,
    job_entry& j,
    const workflow::task_name& name,
    std::int64_t number,
    core::mono_time now,
    plan& to,
    task_events& out);

/// \return the next run number of the gang, which is above the numbers of all members: they share
/// one.
std::int64_t next_gang_run_number(fleet& f, const waiting_step& w, int tasks);

/// Starts either all members of a gang or none: members that wait for others would occupy capacity
/// without working.
void start_gang(fleet& f,
    const waiting_step& w,
    const std::vector<host_entry*>& hosts,
    core::mono_time now,
    plan& to,
    task_events& out);

} // namespace camphorhitch::coordinator
