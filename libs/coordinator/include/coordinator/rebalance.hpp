/// \file
/// Hosts follow demand between pools: idle ones go to pools that are short, or to the standby pool,
/// where they are switched off.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/waves.hpp"

namespace camphorhitch::coordinator
{

struct rebalance_settings
{
    /// Hosts that each pool keeps beyond its need, against lumps.
    int spare_hosts = 1;
    /// A pool's surplus must have stood this long before hosts go to the standby pool: a host pays
    /// for being sent off and fetched back within about 4 s of rest.
    core::millis rest{1500};
    /// A pool's need is let go at this many hosts a second: needs jump with each job.
    double release = 8;
    /// Share of the hosts kept that is let go a second on top, once the pool's busy time is over:
    /// what it keeps then is no reserve for the next jobs, and in a large pool would stand for
    /// longer than the busy time lasted.
    double release_share = 0.5;
    /// A pool that lacks so many hosts gets them also from pools that wanted theirs just now.
    int far_short = 4;
    /// Most moves ordered in one plan; the platform bounds its calls a second.
    int most_moves = 12;
    /// A host that another pool lacks is freed of tasks that keep their progress, when they would
    /// hold it for longer than this. 0: never.
    core::millis stops_tasks_above{800};
};

/// A pool as the operators configured it.
struct pool_info
{
    std::string name;
    bool standby = false;
};

struct pending_move
{
    std::string to;
    std::string runner; ///< the life that ends with the move
    bool ordered = false;
    core::mono_time ordered_at;
};

struct rebalancer
{
    rebalance_settings settings;
    std::map<std::string, pending_move> moves; ///< by machine, until seen up in its new pool
    std::map<std::string, core::mono_time> surplus_since; ///< by pool
    std::map<std::string, double> kept; ///< by pool: hosts that it does not give away yet
    core::mono_time kept_at;
    std::set<std::string> without_spare;
    std::map<std::string, int> told; ///< by pool: hosts wanted, as last logged
};

struct move_action
{
    std::string machine;
    std::string pool;
};

/// Chooses hosts, closes them, and picks those that are empty by now.
/// \param held machines that a wave holds or will take next; they stay where they are
/// \return moves to order now.
std::vector<move_action> plan_moves(fleet& f,
    rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now,
    task_events& out);

/// Nothing was planned until now: surplus is judged anew.
void resume_moves(rebalancer& r, core::mono_time now);

/// \return pools that have no host to give away, as the latest plan saw them.
std::set<std::string> pools_without_spare(const rebalancer& r);

/// The platform's answer to a move.
void move_answered(fleet& f,
    rebalancer& r,
    const std::string& machine,
    ports::machine_verdict verdict,
    core::mono_time now,
    task_events& out);

/// Notes what the newest list shows of moves under way.
void see_moves(rebalancer& r, const machine_table& list, core::millis list_lag);

} // namespace camphorhitch::coordinator
