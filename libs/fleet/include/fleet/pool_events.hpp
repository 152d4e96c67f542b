/// \file
/// The events that change a pool document: operators' requests, changes in the platform's live
/// list, and steps of the pool's decider.
#pragma once

#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace camphorhitch::fleet
{

// ---- Operators' requests. Each carries the id of its command, so that a repeated command takes
// ---- effect only once.

/// Drain a host for maintenance (reboot and return).
struct drain_request
{
    std::string host;
    std::string command;
};

/// Drain a host that leaves the fleet: the platform takes it away, or operators give it back.
struct leave_request
{
    std::string host;
    std::string command;
};

/// Move a host to another pool permanently.
struct move_request
{
    std::string host;
    std::string to;
    std::string command;
};

/// Undo a drain or move that has not been handed over yet.
struct undo_request
{
    std::string host;
    std::string command;
};

/// Add a host that belongs to no pool to this pool.
struct add_request
{
    model::host_record host;
    std::string command;
};

/// Remove a host that is gone permanently from the pool. A failed host is removed once no member
/// can send to it.
struct forget_request
{
    std::string host;
    std::string command;
    bool exclusive = false; ///< is_confirmed_exclusive(): no other document names the host
};

// ---- Changes in the live list ----

/// The live list shows the host as down.
struct host_down
{
    std::string host;
    std::int64_t boot_count = 0;
};

/// The live list shows the host as live.
struct host_live
{
    std::string host;
    std::int64_t boot_count = 0;
    /// The platform acknowledged the last reboot order, and the lag of the live list has passed
    /// since the acknowledgement.
    bool reboot_certain = false;
};

/// The live list shows that the platform is about to take the host away.
struct host_leaving
{
    std::string host;
    std::int64_t boot_count = 0;
};

// ---- Steps of the pool's decider ----

/// Start to drain a host that a wave admitted.
struct start_drain
{
    std::string host;
    std::string wave;
    std::string weighed; ///< what the decision was based on, for the host's decision record
};

/// Put a draining or drained host back into service.
struct undo_drain
{
    std::string host;
    std::string rule;    ///< name of the rule that decided
    std::string weighed; ///< as in start_drain
};

/// Mark a draining host as drained: nothing is in flight on it and no member can send to it.
struct confirm_drained
{
    std::string host;
};

/// Hand a drained host over to maintenance. The reboot is ordered after this event is written.
struct hand_over
{
    std::string host;
};

/// A host did not come back in time from the reboot ordered under the id \p command.
struct return_timeout
{
    std::string host;
    std::string command;
};

/// Remove a failed host that an operator asked to forget, when no member can send to it any more.
struct remove_failed_host
{
    std::string host;
    bool exclusive = false; ///< as in release_host
};

/// Release a drained host to the pool that it moves to.
struct release_host
{
    std::string host;
    /// is_confirmed_exclusive(): the pool that the host came from has removed its released entry.
    bool exclusive = false;
};

/// Adopt a host that pool \p from released to this pool.
struct adopt_host
{
    model::released_host entry;
    std::string from;
    bool hold = false;    ///< this pool holds its hosts as spare capacity
    bool current = false; ///< is_current(): the entry was read after this document's last write
};

/// Remove the released entry with this ownership number, after the new pool adopted the host.
struct remove_released_entry
{
    std::string host;
    std::int64_t ownership = 0;
};

/// Confirm a host that an operator added: no other pool has it, so it belongs to this pool from now
/// on.
struct confirm_added
{
    std::string host;
    std::int64_t ownership = 0; ///< higher than any ownership number that the host had before
};

/// Remove a host that an operator added, because it belongs to another pool.
struct withdraw_added
{
    std::string host;
    std::string owner; ///< the pool that has the host, for the note
};

/// Hold a serving host empty as spare capacity.
struct hold_host
{
    std::string host;
    std::string weighed; ///< as in start_drain
};

/// Put a held host back into service.
struct unhold_host
{
    std::string host;
    std::string weighed; ///< as in start_drain
};

/// Lend a held host of this spare pool to another pool.
struct lend_host
{
    std::string host;
    std::string to;
    std::string weighed;    ///< as in start_drain
    bool exclusive = false; ///< as in release_host
};

/// Start to move a borrowed host that is not needed here: back to the pool that lent it, or to
/// another pool that needs it.
struct reassign_borrowed_host
{
    std::string host;
    std::string to;
    std::string weighed; ///< as in start_drain
};

/// Any event that apply() accepts.
using pool_event = std::variant<drain_request,
    leave_request,
    move_request,
    undo_request,
    add_request,
    forget_request,
    host_down,
    host_live,
    host_leaving,
    start_drain,
    undo_drain,
    confirm_drained,
    hand_over,
    return_timeout,
    remove_failed_host,
    release_host,
    adopt_host,
    remove_released_entry,
    confirm_added,
    withdraw_added,
    hold_host,
    unhold_host,
    lend_host,
    reassign_borrowed_host>;

} // namespace camphorhitch::fleet
