/// \file
/// Requests to the platform's advice service for steps whose queue needs advice, and the tickets
/// that it issued.
#pragma once

#include "coordinator/fleet.hpp"
#include "ports/advice.hpp"

namespace camphorhitch::coordinator
{

/// Request to the advice service for tickets of one step on these runners.
struct advice_request
{
    workflow::task_name step; ///< the task index is not used
    std::vector<std::string> runners;
};

/// \return "job.occurrence.step", the name by which the advice service refers to a step.
std::string write_step_name(const workflow::task_name& step);

/// \return the ticket of the step for the host that is valid at \p now, or nullptr.
const std::string* find_ticket(
    const job_entry& j, int occurrence, int step, const std::string& host, core::mono_time now);

/// Decides which runners to request tickets for, for one waiting step. Records the request as in
/// flight.
/// \param hosts hosts of the pool that accept tasks
/// \return the request; without runners when nothing is to be requested
advice_request plan_advice_request(fleet& f,
    job_entry& j,
    int occurrence,
    int step,
    const std::vector<host_entry*>& hosts,
    core::mono_time now);

/// Applies the answer of the advice service.
/// \param request the request that was answered
void handle_advice_answer(fleet& f,
    const advice_request& request,
    const ports::advice_answer& answer,
    core::mono_time now,
    task_events& out);

/// Removes the ticket of a step that a runner has refused, so that a new one is requested.
void discard_ticket(fleet& f, const workflow::task_name& step, const std::string& host);

} // namespace camphorhitch::coordinator
