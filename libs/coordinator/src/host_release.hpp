/// \file
/// Frees a host that another pool waits for of tasks that can continue on another host.
///
/// A long task would occupy its host for seconds after the host was chosen for a move. When busy
/// periods of queues with long and with short tasks follow each other, the short tasks would be
/// late before the host arrives.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Stops the runs of the host that have checkpoints, still need more than \p max_remaining, and
/// whose job can afford the interruption. They continue from their checkpoint on another host of
/// their pool.
void stop_resumable_tasks(fleet& f,
    const host_entry& h,
    core::millis max_remaining,
    core::mono_time now,
    task_events& out);

} // namespace camphorhitch::coordinator
