/// \file
/// The parts of a pool's decision. Each part changes the same copy of the pool's document.
#pragma once

#include "fleet/pool_decider.hpp"
#include "fleet/pool_rules.hpp"

#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// A copy of the pool's document, to which the parts of the decision apply their events.
struct pool_update
{
    const pool_inputs& in;
    pool_timers& timers;
    model::pool_document next;      ///< the document with the events applied so far
    std::vector<std::string> notes; ///< one description for each event that changed the document
};

/// Applies \p e to the document. \return whether the document changed.
bool apply_step(pool_update& d, const pool_event& e);

/// \return the activity of \p host. A host without an entry is never certainly idle.
host_activity activity_of(const pool_inputs& in, const std::string& host);

/// \return whether no other document names \p host, according to views that are current.
bool is_confirmed_exclusive(const pool_update& d, const std::string& host);

/// \return the ids of the document's hosts, to iterate over while the document changes.
std::vector<std::string> host_ids(const pool_update& d);

// ---- The parts, in the order in which decide_pool() calls them ----

/// Applies the state of each of the pool's hosts in the live list.
void apply_live_list(pool_update& d);

/// Marks hosts as failed that did not come back from their reboot in time.
void fail_overdue_reboots(pool_update& d);

/// Undoes drains of waves that stopped, and drains that a failure leaves no budget for.
void undo_stopped_drains(pool_update& d);

/// Moves each drain to its next state as far as the work in flight allows.
void advance_drains(pool_update& d);

/// Adopts released hosts, removes released entries that were adopted, and confirms or withdraws
/// hosts that operators added.
void exchange_hosts(pool_update& d);

/// Starts to move borrowed hosts away that the pool has not needed for a while.
void reassign_surplus_hosts(pool_update& d);

/// Lends held hosts of a spare pool to pools that need them.
void lend_spare_hosts(pool_update& d);

/// Starts drains of hosts that waves admitted, as far as policy and budget allow.
void start_wave_drains(pool_update& d);

/// Holds hosts, or puts held hosts back into service, to match the wanted spare capacity.
void adjust_held_hosts(pool_update& d);

} // namespace camphorhitch::fleet
