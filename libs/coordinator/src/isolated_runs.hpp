/// \file
/// Isolated starts of tasks that may crash their hosts: on a host without other tasks, and on a
/// limited number of hosts at a time.
#pragma once

#include "starts.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// The hosts of one pool during one plan.
struct candidate_hosts
{
    std::string pool;
    std::vector<host_entry*> available; ///< hosts that accept new tasks
    int listed = 0;
    int idle = 0;                ///< of `available`
    int isolating = 0;           ///< hosts with an isolated run
    int max_isolating_hosts = 0; ///< bound of `isolating`
    /// Receives no new tasks until it is empty, because a suspect waits for a host; nullptr: none.
    host_entry* reserved_host = nullptr;
    bool suspect_waits = false; ///< a suspect found no empty host
};

/// \return by pool, the hosts and the bound of isolated runs at \p now, from one pass over all
/// hosts.
std::map<std::string, candidate_hosts> hosts_by_pool(fleet& f, core::mono_time now);

/// Starts the tasks of the step that may start only in isolation, as far as hosts and the bound of
/// isolated runs allow. The other tasks of the step are left to the ordinary placement.
void start_isolated_runs(fleet& f,
    const waiting_step& w,
    candidate_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out);

} // namespace camphorhitch::coordinator
