/// \file
/// Applies the answers of runners to the fleet: which runs have started, ended or are lost.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Applies the answer to a start order.
/// \param all_sends_answered no send of the order may still be carried out
/// \return false when the runner has accepted orders of a newer coordinator: this coordinator no
/// longer leads.
bool handle_start_answer(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out,
    bool all_sends_answered = true);

/// Applies the answer to a stop order.
/// \return as handle_start_answer
bool handle_stop_answer(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out);

/// Applies the answer to a call that only renews a lease: whether the host answers, and its clock.
/// Its active and ended runs are learned from polls. If the runner has started again, the host is
/// replaced by one for its new incarnation, which is to be polled.
/// \return as handle_start_answer
bool handle_renewal_answer(fleet& f,
    const std::string& host,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out);

/// Applies a poll answer: first the ended runs, then the active runs, then runs that are missing.
/// If the runner has started again, the host is replaced by one for its new incarnation first.
/// \param sent_at when the poll was sent; the answer doesn't show later changes
/// \return as handle_start_answer
bool handle_poll_answer(fleet& f,
    const std::string& host,
    core::mono_time sent_at,
    const ports::poll_answer& answer,
    core::mono_time now,
    task_events& out);

} // namespace camphorhitch::coordinator
