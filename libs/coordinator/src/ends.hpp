/// \file
/// What the end of a run means for its task, its job and its host.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Takes in one end that a runner reports and that was not taken in before.
void take_end(
    fleet& f, host_entry& h, const ports::reported_end& end, core::mono_time now, task_events& out);

} // namespace camphorhitch::coordinator
