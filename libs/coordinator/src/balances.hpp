/// \file
/// The hosts and the need of each pool, from the machine list and the demand.
#pragma once

#include "coordinator/rebalance.hpp"

namespace camphorhitch::coordinator
{

/// The hosts of one pool and its need.
struct balance
{
    std::string name;
    bool standby = false;
    int have = 0; ///< hosts that are up, or moving to this pool
    int wanted = 0;
    int floor = 0; ///< part of wanted for long-running tasks, their spread and spare hosts
    /// Hosts that are retained after an earlier need; the others may be given away.
    int retained = 0;
    double cores = 0;                              ///< the need in cores
    double batch_cores = 0;                        ///< part of it that is not long-running
    need_summary need;                             ///< the need in all resources
    bool busy_expected = false;                    ///< a busy period is about to start
    bool busy = false;                             ///< the pool is in a busy period
    std::vector<const ports::machine_entry*> free; ///< up, and neither held by a wave nor moving
};

/// A host that is about to leave serves no pool, and refuses to move.
bool is_leaving(const fleet& f, const ports::machine_entry& m);

/// \return the balance of each pool, by name.
/// \param held machines that a maintenance wave holds or will take next
std::map<std::string, balance> compute_balances(const fleet& f,
    const rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now);

} // namespace camphorhitch::coordinator
