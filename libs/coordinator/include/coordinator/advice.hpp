/// \file
/// Steps of queues under advice: which hosts to ask about, and which tickets stand.
#pragma once

#include "coordinator/fleet.hpp"
#include "ports/advice.hpp"

namespace camphorhitch::coordinator
{

/// Ask the advice service about these runners for this step.
struct ask_action
{
    workflow::task_name step; ///< its index does not count
    std::vector<std::string> runners;
};

/// \return "job.occurrence.step", as the advice service wants it.
std::string write_step_name(const workflow::task_name& step);

/// \return the ticket that stands for the host, or nullptr.
const std::string* find_ticket(
    const job_entry& j, int occurrence, int step, const std::string& host, core::mono_time now);

/// Decides whom to ask about for one waiting step; notes the call as out.
/// \param hosts of the pool, that may run something
/// \return nothing to ask: no runners
ask_action plan_ask(fleet& f,
    job_entry& j,
    int occurrence,
    int step,
    const std::vector<host_entry*>& hosts,
    core::mono_time now);

/// Takes the service's answer in.
void advice_answered(fleet& f,
    const ask_action& asked,
    const ports::advice_answer& answer,
    core::mono_time now,
    task_events& out);

/// A runner has refused the step's ticket for it: the service is asked about it anew.
void ticket_refused(fleet& f, const workflow::task_name& step, const std::string& host);

} // namespace camphorhitch::coordinator
