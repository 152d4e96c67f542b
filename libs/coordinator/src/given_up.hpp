/// \file
/// Starts without an answer on hosts whose leases have ended: their tasks start elsewhere, and the
/// orders may still be carried out.
#pragma once

#include "coordinator/placement.hpp"
#include "ports/runners.hpp"

namespace camphorhitch::coordinator
{

/// Notes the starts on \p h that its runner has neither confirmed nor promised to refuse.
void give_up_starts(fleet& f, const host_entry& h, task_events& out);

/// Orders the stops that are due, on hosts that answer again.
void stop_given_up(fleet& f, core::mono_time now, plan& to);

/// A runner that has confirmed the stop carries the start out no more.
void given_up_answered(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    ports::runner_verdict verdict,
    core::mono_time now);

} // namespace camphorhitch::coordinator
