/// \file
/// Chooses the hosts that move: from pools with a surplus to pools that lack hosts, or to the
/// standby pool.
#pragma once

#include "balances.hpp"

namespace camphorhitch::coordinator
{

/// Chooses the host with the lowest cost of a pool for a move, and closes it.
/// \param is_wanted the other pool lacks hosts: its callers wait for the host
/// \return the move, which is not ordered yet.
pending_move& choose_host_to_move(fleet& f,
    rebalancer& r,
    balance& from,
    const std::string& to,
    bool is_wanted,
    core::mono_time now,
    task_events& out);

/// \return whether the pool has a cheap host.
bool has_cheap_host(const balance& b);

/// Chooses hosts for the pools that lack some, in the order of their names.
void fill_short_pools(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out);

/// Chooses hosts for the standby pool, from pools that have had a surplus for standby_delay.
void move_surplus_to_standby(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out);

} // namespace camphorhitch::coordinator
