/// \file
/// Starts of tasks that may crash their hosts: alone on a host, and few at a time.
#pragma once

#include "starts.hpp"

namespace camphorhitch::coordinator
{

/// The hosts of one pool during one plan.
struct pool_hosts
{
    std::string pool;
    std::vector<host_entry*> open; ///< that may take new tasks
    int trials = 0;                ///< hosts on which a suspect is being tried
    int most_trials = 1;           ///< at a time
    /// Left to itself until it is empty: a suspect waits for a host.
    host_entry* set_aside = nullptr;
    bool waits = false; ///< a suspect found no empty host
};

pool_hosts hosts_of_pool(fleet& f, const std::string& pool, core::mono_time now);

/// Starts those tasks of the step that may start only alone, as far as there are hosts for them and
/// not too many are tried already. The others of the step are left to the ordinary placement.
void start_trials(fleet& f,
    const waiting_step& w,
    pool_hosts& hosts,
    core::mono_time now,
    plan& to,
    task_events& out);

} // namespace camphorhitch::coordinator
