/// \file
/// What a task will do in truth: from its declaration, its payload and the set factors.
#pragma once

#include "fleet.hpp"

namespace camphorhitch::standin_worker
{

true_nature nature_of(const ports::task_order& order, const behaviour& how);

} // namespace camphorhitch::standin_worker
