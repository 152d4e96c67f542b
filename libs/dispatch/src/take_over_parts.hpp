/// \file
/// The parts of a takeover that time-outs and lost members cause.
#pragma once

#include "dispatch/take_over.hpp"

namespace camphorhitch::dispatch
{

/// Completes the takeover when the report deadline has passed. From then on, members without a
/// report send no request under an old permit; the requests that they may have in flight are
/// counted like those of previous members.
void stop_waiting_for_reports(pool_dispatcher& d, core::mono_time now);

/// Handles the proof that a process of a member has ended, which may not have reported.
void record_process_ended(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    core::mono_time now);

/// \return whether processes that did not report may hold permits that this owner has not counted.
bool has_uncounted_permits(const pool_dispatcher& d, core::mono_time now);

} // namespace camphorhitch::dispatch
