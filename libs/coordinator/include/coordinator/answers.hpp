/// \file
/// What the answers of runners prove.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// \return false when the runner knows a newer owner: this one has lost its ownership.
bool start_answered(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out);

/// As start_answered, for a stop.
bool stop_answered(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out);

/// Takes the answer to a call that only renews a lease: whether the host answers, and its clock.
/// What it runs and what has ended there is left to a poll.
/// \return false when the runner knows a newer owner: this one must give up
bool contact_answered(fleet& f,
    const std::string& host,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out);

/// Takes in what a runner reports: ends first, then what runs, then what is missing.
/// \param begun when the poll was sent; later changes are not in its answer
/// \return as start_answered
bool poll_answered(fleet& f,
    const std::string& host,
    core::mono_time begun,
    const ports::poll_answer& answer,
    core::mono_time now,
    task_events& out);

} // namespace camphorhitch::coordinator
