/// \file
/// Counts the hosts that a pool needs from cores, memory and accelerators.
#pragma once

#include "coordinator/demand.hpp"
#include "core/names.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// A resource of a host.
enum class resource_kind
{
    cores,
    memory,
    gpus
};

inline constexpr core::name_table<resource_kind, 3> resource_kind_names{{
    {resource_kind::cores, "cores"},
    {resource_kind::memory, "memory"},
    {resource_kind::gpus, "gpus"},
}};

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

/// Need of a pool, as it is reported.
struct need_summary
{
    workflow::resources total;
    resource_kind bound_by = resource_kind::cores; ///< determines the number of hosts
};

/// Collects the capacities of the fleet's hosts. Hosts without a known capacity, and those that
/// leave their pool, are left out.
fleet_shapes collect_shapes(const fleet& f);

/// \return the shapes of one pool. Further hosts are assumed to be like the median of the pool's
/// hosts, then like that of the fleet; without any known capacity, a host has 32 cores, and memory
/// and accelerators don't bind.
host_shapes shapes_of_pool(const fleet_shapes& all, const std::string& pool);

/// Counts the smallest hosts first, since it is not known which hosts the pool keeps when it gives
/// some away. Tasks that fit on no host are left out.
/// \return the number of hosts that the pool needs.
int hosts_needed(const pool_need& need, const host_shapes& shapes);

/// \return the totals of the need, and the resource of which it takes the largest share of a host;
/// cores when \p shapes is empty.
need_summary summarize_need(const pool_need& need, const host_shapes& shapes);

} // namespace camphorhitch::coordinator
