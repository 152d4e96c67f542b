/// \file
/// Compares hosts with free capacity by how well a task fills them.
#pragma once

#include "coordinator/fleet.hpp"

#include <utility>

namespace camphorhitch::coordinator
{

/// Cost of a host for a task; hosts with a lower one are chosen first. The second number decides
/// between hosts with an equal first one.
using packing_cost = std::pair<double, double>;

/// Computes the cost of placing a task on the host. Shares of the capacity are those after the
/// start; a resource of which the host has nothing is left out.
/// \param need what the task requires
/// \param fills_up true: hosts are filled one after the other; false: tasks are spread
packing_cost cost_of_host(
    const host_entry& h, const workflow::resources& need, bool fills_up, packing_rule rule);

} // namespace camphorhitch::coordinator
