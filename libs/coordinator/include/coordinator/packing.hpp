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

/// Cost by the shares of the host's capacity that are used after the start; a resource of which the
/// host has nothing is left out.
/// \param need what the task requires
/// \param fills_up true: hosts are filled one after the other; false: tasks are spread
packing_cost cost_by_shares(
    const host_entry& h, const workflow::resources& need, bool fills_up, packing_rule rule);

/// Computes the cost of placing a task on the host, as cost_by_shares(), or by the used cores with
/// packing_rule::cores. Inline, since a plan calls it for each waiting task and host.
inline packing_cost cost_of_host(
    const host_entry& h, const workflow::resources& need, bool fills_up, packing_rule rule)
{
    if (rule == packing_rule::cores)
    {
        const auto used = static_cast<double>(h.used.cpu);
        return {fills_up ? -used : used, 0};
    }
    return cost_by_shares(h, need, fills_up, rule);
}

} // namespace camphorhitch::coordinator
