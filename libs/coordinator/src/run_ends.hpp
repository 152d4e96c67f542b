/// \file
/// Applies the end of a run to its task, its job and its host.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Applies one end that a runner reports and that was not applied before.
void apply_run_end(
    fleet& f, host_entry& h, const ports::reported_end& end, core::mono_time now, task_events& out);

} // namespace camphorhitch::coordinator
