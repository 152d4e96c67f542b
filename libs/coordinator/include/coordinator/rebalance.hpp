/// \file
/// Moves hosts between pools according to demand: idle hosts go to pools that lack hosts, or to the
/// standby pool, whose machines are switched off.
#pragma once

#include "coordinator/allocation.hpp"
#include "coordinator/demand.hpp"
#include "coordinator/resource_needs.hpp"
#include "coordinator/waves.hpp"

#include <optional>

namespace camphorhitch::coordinator
{

/// Bounds and delays of moves between pools.
struct rebalance_settings
{
    allocation_rule allocation = allocation_rule::in_order;
    allocation_settings division; ///< unused with allocation_rule::in_order
    /// Hosts that each pool keeps beyond its need, because work arrives in bursts.
    int spare_hosts = 1;
    /// A pool must have had a surplus for this long before hosts go to the standby pool: moving a
    /// host there and back pays only when it stays for at least about 4 s.
    core::millis standby_delay{1500};
    /// While no pool has been busy yet, no host goes to the standby pool for this long after the
    /// first plan: nothing is known of the demand but what the operators' distribution of hosts
    /// says. 0: surplus hosts go at once.
    core::millis settling_time{20000};
    /// Hosts per second by which the number of retained hosts falls towards the need, because the
    /// need changes abruptly with each job.
    double release_rate = 8;
    /// Share of the retained hosts that is released per second in addition, once the busy period of
    /// the pool is over: the hosts it still retains are no reserve for further jobs then, and a
    /// large pool would retain them for longer than its busy period lasted.
    double release_share = 0.5;
    /// A pool that lacks this many hosts also gets hosts that other pools retain above their
    /// present need.
    int urgent_shortage = 4;
    /// Moves ordered in one plan, if orders_per_second allows no more.
    int max_moves_per_plan = 12;
    /// Orders that the platform accepts per second; 0: not known.
    double orders_per_second = 0;
    /// A host that another pool lacks is freed of tasks with checkpoints that would occupy it for
    /// longer than this. 0: tasks are never stopped for a move.
    core::millis task_stop_threshold{800};
    /// After an order that the service refused for want of capacity, no order is sent for this
    /// long; twice as long after each further refusal in a row, up to the maximum.
    core::millis refused_order_pause{200};
    core::millis max_refused_order_pause{1600};
    /// A machine that refused an order, without any sign that it leaves, is not chosen again for
    /// this long; twice as long after each further refusal, up to the maximum.
    core::millis busy_machine_delay{1500};
    core::millis max_busy_machine_delay{12000};
    core::millis need_log_interval{500}; ///< between two logs of the pools' needs and hosts
};

/// A pool as the operators configured it.
struct pool_info
{
    std::string name;
    bool standby = false;
};

/// A move of a machine to another pool that is not completed.
struct pending_move
{
    std::string to_pool;
    /// Incarnation that ends with the move; the id that the list named if the incarnation was not
    /// known.
    std::string runner;
    /// The order was sent to the platform.
    bool ordered = false;
    core::mono_time ordered_at;
    bool is_wanted = false;   ///< the other pool lacks hosts, so callers wait for the host
    bool in_scarcity = false; ///< there were too few hosts for all pools when it was chosen
};

/// A machine that has refused an order because it was not up, or about to leave.
struct busy_machine
{
    std::string runner; ///< runner's id that the list named then; empty: none
    int refusals = 0;
    core::mono_time not_before; ///< the machine is not chosen before this time
};

/// Hosts of one pool according to the latest plan.
struct pool_hosts
{
    int wanted = 0;
    int floor = 0; ///< part of wanted for long-running tasks and spare hosts
    int have = 0;  ///< up, or moving to the pool
    int target = 0;

    bool operator==(const pool_hosts&) const = default;
};

/// State of the moves between pools.
struct rebalancer
{
    rebalance_settings settings;
    /// By machine; until the machine list shows the machine up in its new pool.
    std::map<std::string, pending_move> moves;
    /// By machine; until it accepts an order, has another runner, or leaves the list.
    std::map<std::string, busy_machine> busy_machines;
    int refusals_in_row = 0;           ///< orders refused for want of the service's capacity
    core::mono_time orders_not_before; ///< no order is sent before this time
    core::mono_time orders_planned_at; ///< when orders were planned last
    int allowed_orders = 0;            ///< bound of the orders of the present plan
    /// How many more empty hosts may be chosen in the present plan for pools that lack hosts: as
    /// many as can be ordered. A host that is chosen takes no tasks while it waits for its order.
    int moves_to_choose = 0;
    /// Other moves that wait for their orders. They come after the ones above, and leave as many
    /// fewer to choose for the standby pool.
    int other_moves_waiting = 0;
    std::map<std::string, core::mono_time> surplus_since; ///< by pool
    /// By pool: number of hosts that it does not give away yet.
    std::map<std::string, double> retained;
    std::optional<core::mono_time> first_planned_at;
    /// When `retained` was last updated.
    core::mono_time retained_at;
    /// Pools that have no host to give away, according to the latest plan.
    std::set<std::string> pools_without_spare;
    /// By machine that arrived because of scarcity: when. It stays for payoff_time.
    std::map<std::string, core::mono_time> scarce_arrivals;
    std::map<std::string, pool_hosts> hosts;            ///< by pool
    std::map<std::string, pool_hosts> logged_divisions; ///< by pool, as logged last
    /// By pool: numbers of wanted and present hosts that were logged last.
    std::map<std::string, std::pair<int, int>> logged_needs;
    core::mono_time needs_logged_at;
    std::map<std::string, need_summary> needs; ///< by pool, from the latest plan
};

/// A move order for the platform.
struct move_action
{
    std::string machine;
    std::string pool;
};

/// Chooses hosts to move, closes them to new tasks, and selects those that are empty now.
/// \param held machines that a maintenance wave holds or will take next; they are not moved
/// \return the moves to order now.
std::vector<move_action> plan_moves(fleet& f,
    rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now,
    task_events& out);

/// Restarts the measurement of surplus after a time without plans, since the surplus during that
/// time is unknown.
void reset_surplus_timers(rebalancer& r, core::mono_time now);

/// \return the pools that have no host to give away, according to the latest plan.
std::set<std::string> pools_without_spare(const rebalancer& r);

/// Applies the platform's answer to a move order. A refusal determines whether the order is
/// repeated and when.
void handle_move_answer(fleet& f,
    rebalancer& r,
    const machine_table& list,
    const std::string& machine,
    ports::machine_verdict verdict,
    core::mono_time now,
    task_events& out);

/// Removes the refusals of machines that have another runner now or have left.
void forget_busy_machines(rebalancer& r, const machine_table& list);

/// Removes the moves that the newest machine list shows as completed.
/// \param list_lag a list may be this much older than the request for it
void remove_completed_moves(rebalancer& r, const machine_table& list, core::millis list_lag);

} // namespace camphorhitch::coordinator
