/// \file
/// Frees a host that another pool waits for of tasks that can go on elsewhere.
///
/// A long task holds its host for seconds after the host was chosen. When busy times of queues with
/// long and with short tasks follow each other, the short ones are late before the host is there.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Wants a stop of the host's runs that keep their progress, still need more than \p longest, and
/// whose job can bear the pause. They go on from their checkpoint on another host of their pool.
void stop_resumable_tasks(
    fleet& f, const host_entry& h, core::millis longest, core::mono_time now, task_events& out);

} // namespace camphorhitch::coordinator
