/// \file
/// Capacity of hosts that are moving between pools, for the completion forecast.
#pragma once

#include "coordinator/rebalance.hpp"

namespace camphorhitch::coordinator
{

/// Hosts whose move is ordered are expected demand_settings::trend_lookahead later. A host whose
/// capacity is not known any more counts like the median of the fleet.
/// \return for fleet::arriving_capacity: by pool, the cores of each arriving host.
std::map<std::string, std::vector<capacity_step>> arriving_capacity(
    const fleet& f, const rebalancer& r, const demand_settings& s);

} // namespace camphorhitch::coordinator
