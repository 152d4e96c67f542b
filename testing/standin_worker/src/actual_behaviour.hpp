/// \file
/// Computation of a task's actual behaviour from its declaration, its payload and the settings.
#pragma once

#include "fleet.hpp"

namespace camphorhitch::standin_worker
{

/// \return the actual behaviour of a task.
actual_behaviour actual_behaviour_of(const ports::task_order& order, const behaviour& settings);

} // namespace camphorhitch::standin_worker
