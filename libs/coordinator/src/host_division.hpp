/// \file
/// Moves hosts between pools so that each has what divide_hosts assigns to it.
#pragma once

#include "balances.hpp"

namespace camphorhitch::coordinator
{

/// Excludes hosts from the free ones that arrived because of scarcity less than payoff_time ago.
void keep_scarce_arrivals(rebalancer& r,
    const machine_table& list,
    std::map<std::string, balance>& all,
    core::mono_time now);

/// \return by pool, the number of hosts that it should have.
std::map<std::string, int> choose_targets(
    fleet& f, const rebalancer& r, const demand& d, const std::map<std::string, balance>& all);

/// Chooses hosts of the pools that have more than their target for those that have fewer, the hosts
/// with the lowest cost first.
void move_to_targets(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    const std::map<std::string, int>& targets,
    core::mono_time now,
    task_events& out);

} // namespace camphorhitch::coordinator
