/// \file
/// Counts the hosts that a pool needs from cores, memory and accelerators.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/host_shapes.hpp"
#include "core/names.hpp"

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

/// Need of a pool, as it is reported.
struct need_summary
{
    workflow::resources total;
    resource_kind bound_by = resource_kind::cores; ///< determines the number of hosts
};

/// Counts the smallest hosts first, since it is not known which hosts the pool keeps when it gives
/// some away. Tasks that fit on no host are left out.
/// \return the number of hosts that the pool needs.
int hosts_needed(const pool_need& need, const host_shapes& shapes);

/// \return the totals of the need, and the resource of which it takes the largest share of a host;
/// cores when \p shapes is empty.
need_summary summarize_need(const pool_need& need, const host_shapes& shapes);

} // namespace camphorhitch::coordinator
