/// \file
/// What the placement of single tasks and of gangs share: who may run a task, and the order itself.
#pragma once

#include "coordinator/placement.hpp"

namespace camphorhitch::coordinator
{

/// A step with tasks that wait, in the order in which they are served.
struct waiting_step
{
    job_entry* job = nullptr;
    int occurrence = 0;
    int step = 0;
    bool lost = false;            ///< too late to be worth anything
    bool late = false;            ///< can't meet its objective any more: worth little
    std::int64_t due_unix_ms = 0; ///< when its objective ends
};

/// \return whether the host answers, is known to successors, and is not about to leave.
bool may_host(const fleet& f, const host_entry& h, core::mono_time now);

/// \return wall time in milliseconds from which on the occurrence may start.
std::int64_t due_at(const workflow::job& j, int occurrence);

bool has_label(const host_entry& h, const std::string& label);

/// \return whether labels, room, the step's bound and the platform's advice allow one more task.
bool may_run_there(
    const host_entry& h, const job_entry& j, int occurrence, int step, const workflow::step& s);

/// \return whether the job needs no advice, or has a ticket for the host.
bool is_advised(
    const host_entry& h, const job_entry& j, int occurrence, int step, core::mono_time now);

std::int64_t next_run_number(const task_entry& t);

/// Notes a start as ordered. Asserts that it breaks no promise.
void order_start(fleet& f,
    host_entry& h,
    job_entry& j,
    const workflow::task_name& name,
    std::int64_t number,
    core::mono_time now,
    plan& to,
    task_events& out);

/// \return a number above those of all members: they must share one.
std::int64_t gang_number(fleet& f, const waiting_step& w, int tasks);

/// Starts a gang whole or not at all: members that wait for others hold room and do nothing.
void start_gang(fleet& f,
    const waiting_step& w,
    const std::vector<host_entry*>& hosts,
    core::mono_time now,
    plan& to,
    task_events& out);

} // namespace camphorhitch::coordinator
