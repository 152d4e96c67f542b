/// \file
/// Capacities of the hosts of the pools, for counting the hosts that a need takes.
#pragma once

#include "coordinator/fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// Hosts of equal capacity.
struct host_shape
{
    workflow::resources capacity;
    int hosts = 0;
};

/// Capacities of the hosts that a pool has, and may get.
struct host_shapes
{
    /// Known hosts of the pool, the smallest ones first.
    std::vector<host_shape> hosts;
    /// Capacities that are assumed for further hosts. A task that doesn't fit on the first one is
    /// counted on the next.
    std::vector<workflow::resources> further;
};

/// Capacities of all hosts of a fleet.
struct fleet_shapes
{
    std::map<std::string, std::vector<host_shape>> pools; ///< the smallest hosts first
    workflow::resources median; ///< of each resource over all hosts; zero: no capacity is known
};

/// Collects the capacities of the fleet's hosts. Hosts without a known capacity, and those that
/// leave their pool, are left out.
fleet_shapes collect_shapes(const fleet& f);

/// \return the shapes of one pool. Further hosts are assumed to be like the median of the pool's
/// hosts, then like that of the fleet; without any known capacity, a host has 32 cores, and memory
/// and accelerators don't bind.
host_shapes shapes_of_pool(const fleet_shapes& all, const std::string& pool);

} // namespace camphorhitch::coordinator
