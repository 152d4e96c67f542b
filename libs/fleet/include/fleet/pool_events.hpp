/// \file
/// What can change a pool document: operators' wishes, news of the live list, and steps of a
/// decider.
#pragma once

#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace camphorhitch::fleet
{

// ---- operators' wishes: each carries the command's id, so that a repeat has its effect once ----

/// Take a host out for maintenance (reboot and return).
struct wish_drain
{
    std::string host;
    std::string command;
};

/// Drain a host that the platform will take away, or that is to be given back to it.
struct wish_leave
{
    std::string host;
    std::string command;
};

/// Hand a host over to another pool, for good.
struct wish_move
{
    std::string host;
    std::string to;
    std::string command;
};

/// Undo a drain or move that was not handed over yet.
struct wish_undo
{
    std::string host;
    std::string command;
};

/// Put a host that no pool has into this one.
struct wish_add
{
    model::host_record host;
    std::string command;
};

/// Strike a host that is gone for good off the pool. A failed one goes once nobody can send to it.
struct wish_forget
{
    std::string host;
    std::string command;
    bool settled = false; ///< is_settled(): no other document names the host
};

// ---- news of the live list ----

struct host_down
{
    std::string host;
    std::int64_t boot_count = 0;
};

struct host_live
{
    std::string host;
    std::int64_t boot_count = 0;
    /// The platform acknowledged the reboot ordered last, and the list's lag has passed since.
    bool reboot_certain = false;
};

/// The platform is about to take the host away.
struct host_leaving
{
    std::string host;
    std::int64_t boot_count = 0;
};

// ---- steps ----

/// Start the planned drain that a wave admitted.
struct start_drain
{
    std::string host;
    std::string wave;
    std::string weighed; ///< why now
};

/// Put a host that drains back to serving.
struct undo_drain
{
    std::string host;
    std::string rule;
    std::string weighed;
};

/// Nothing is in flight on the host and nobody can send to it.
struct confirm_quiet
{
    std::string host;
};

/// Hand a drained host over to maintenance; the reboot is ordered after this is written.
struct hand_over
{
    std::string host;
};

/// A host did not come back in time from the reboot that \p command ordered.
struct return_timeout
{
    std::string host;
    std::string command;
};

/// Strike a failed host off that operators wished to forget, when nothing can be sent to it.
struct drop_host
{
    std::string host;
    bool settled = false; ///< as in release_host
};

/// Hand a drained or held host over to the pool that it goes to.
struct release_host
{
    std::string host;
    bool settled = false; ///< is_settled(): the pool it came from has forgotten it
};

/// Take in a host that \p from released to this pool.
struct adopt_host
{
    model::released_host entry;
    std::string from;
    bool hold = false;    ///< this pool keeps its hosts as spare capacity
    bool current = false; ///< is_current(): the entry was seen after our document's last write
};

/// The new pool has adopted the host that we released with this ownership number.
struct forget_released
{
    std::string host;
    std::int64_t ownership = 0;
};

/// A host that an operator added is in no other pool: it is ours from now on.
struct confirm_added
{
    std::string host;
    std::int64_t ownership = 0; ///< higher than any that the host had before
};

/// A host that an operator added belongs elsewhere.
struct withdraw_added
{
    std::string host;
    std::string owner;
};

/// Keep a fit host empty as spare capacity.
struct hold_host
{
    std::string host;
    std::string weighed;
};

/// Let a held host serve.
struct unhold_host
{
    std::string host;
    std::string weighed;
};

/// Lend a held host of this spare pool to another pool.
struct lend_host
{
    std::string host;
    std::string to;
    std::string weighed;
    bool settled = false; ///< as in release_host
};

/// Start to move a guest on: home, or to the next pool that needs it.
struct send_guest_on
{
    std::string host;
    std::string to;
    std::string weighed;
};

using pool_event = std::variant<wish_drain,
    wish_leave,
    wish_move,
    wish_undo,
    wish_add,
    wish_forget,
    host_down,
    host_live,
    host_leaving,
    start_drain,
    undo_drain,
    confirm_quiet,
    hand_over,
    return_timeout,
    drop_host,
    release_host,
    adopt_host,
    forget_released,
    confirm_added,
    withdraw_added,
    hold_host,
    unhold_host,
    lend_host,
    send_guest_on>;

} // namespace camphorhitch::fleet
