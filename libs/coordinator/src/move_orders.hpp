/// \file
/// Orders the moves of hosts that are empty. The answers to the orders are handled beside it.
#pragma once

#include "coordinator/rebalance.hpp"

namespace camphorhitch::coordinator
{

/// Opens the hosts of machines that may be chosen again after a refusal.
void reopen_busy_hosts(fleet& f, const rebalancer& r, core::mono_time now);

/// Abandons moves of machines that leave, and those whose machine has a runner that was not closed
/// for the move; such a machine may be chosen again.
void abandon_futile_moves(fleet& f, rebalancer& r, const machine_table& list, task_events& out);

/// Sets the bounds of orders and choices for a plan at \p now.
void update_move_bounds(const fleet& f, rebalancer& r, core::mono_time now);

/// Selects the moves to order now: those of empty hosts, the ones that callers wait for first.
std::vector<move_action> order_moves(const fleet& f, rebalancer& r, core::mono_time now);

} // namespace camphorhitch::coordinator
