/// \file
/// Starts without an answer on hosts whose leases have expired. Their tasks start on other hosts,
/// while the runner could still carry out the order.
#pragma once

#include "coordinator/placement.hpp"
#include "ports/runners.hpp"

namespace camphorhitch::coordinator
{

/// Records the starts on \p h as abandoned that its runner has neither confirmed nor promised to
/// refuse.
void abandon_starts(fleet& f, const host_entry& h, task_events& out);

/// Adds stop orders for abandoned starts to the plan, for hosts that answer again.
void stop_abandoned_starts(fleet& f, core::mono_time now, plan& to);

/// Applies the answer to the stop of an abandoned start. A runner that has confirmed the stop never
/// carries out the start, so the entry is removed.
void handle_abandoned_start_answer(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    ports::runner_verdict verdict,
    core::mono_time now);

} // namespace camphorhitch::coordinator
