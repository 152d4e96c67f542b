/// \file
/// Which work waits for capacity, for the shares of the capacity.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Work that runs or waits of jobs with the same pool and the same accounts, in thousandths of a
/// core.
struct active_work
{
    const workflow::job* sample = nullptr; ///< one of the jobs
    std::int64_t waiting = 0;              ///< could start with free capacity
    std::int64_t batch = 0;                ///< in use by batch tasks
    std::int64_t long_running = 0;         ///< in use by long-running tasks
};

using pool_host_lists = std::map<std::string, std::vector<const host_entry*>>;

/// \return by pool, the hosts that are listed and whose capacity is known.
pool_host_lists list_hosts(const fleet& f);

/// \return the work of the jobs with tasks that run, or that could start with free capacity.
std::vector<active_work> list_active_work(
    const fleet& f, const pool_host_lists& hosts, core::mono_time now, std::int64_t unix_ms);

} // namespace camphorhitch::coordinator
