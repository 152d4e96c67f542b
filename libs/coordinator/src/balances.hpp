/// \file
/// The hosts and the need of each pool, from the machine list and the demand.
#pragma once

#include "coordinator/rebalance.hpp"

#include <cstdint>
#include <tuple>

namespace camphorhitch::coordinator
{

/// Cost of taking a host from its pool; lower is better. Whether it may have runs that this
/// coordinator has not seen, its number of long-running tasks, and its used thousandths of a core.
using move_cost = std::tuple<bool, int, std::int64_t>;

/// \return whether the host can be taken without evacuating a long-running task.
bool is_cheap(const move_cost& cost);

/// A host that may be taken from its pool.
struct free_host
{
    const ports::machine_entry* machine = nullptr;
    move_cost cost;
};

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
    double cores = 0;           ///< the need in cores
    double batch_cores = 0;     ///< part of it that is not long-running
    need_summary need;          ///< the need in all resources
    bool busy_expected = false; ///< a busy period is about to start
    bool busy = false;          ///< the pool is in a busy period
    /// Hosts that are up, and neither held by a wave nor moving; the one with the lowest cost is
    /// last.
    std::vector<free_host> free;
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
