/// \file
/// Decides when this member proposes a new roster, from the leased member records, the current
/// roster and the evidence of heartbeats. Safety rests on the store's compare-and-swap; this logic
/// decides when a write is worthwhile and keeps all members from writing at the same time.
#pragma once

#include "core/time.hpp"
#include "membership/owners.hpp"
#include "ports/key_value.hpp"
#include "ports/peer.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::membership
{

/// Limits and delays of roster proposals.
struct roster_settings
{
    /// This many refused connections in a row prove that a process has ended.
    int refused_limit = 3;
    /// A member that is not heard for longer counts as unresponsive.
    core::millis unresponsive_after{2000};
    /// After a lease expires, its holder may be about to register again.
    core::millis lease_grace{1000};
    /// A difference from the current roster must persist this long.
    core::millis proposal_delay{200};
    core::millis rank_delay{400}; ///< additional delay of a proposal for each rank below the first
    core::millis max_jitter{200}; ///< largest random delay, added for all ranks but the first
    /// A removed process must be heard without interruption this long.
    core::millis return_after{5000};
    /// After the store becomes reachable, leases may still be missing for this long.
    core::millis lease_recovery_time{8000};
    /// A longer time between ticks means that this process was paused.
    core::millis max_tick_gap{1000};
    /// Delay before an action without effect is requested again.
    core::millis action_retry_delay{1000};
    std::size_t max_history = 16; ///< largest number of previous rosters kept in the document
};

/// Evidence about one process, from heartbeats and refused connections.
struct peer_evidence
{
    model::member_record process;
    core::mono_time last_heard{}; ///< when it was last heard; initially, when it was first expected
    core::mono_time heard_since{}; ///< start of the current interval without interruption
    bool ever_heard = false;
    int consecutive_refusals = 0;                ///< refused connections since it was last heard
    std::vector<std::string> unresponsive_peers; ///< members that it reported as unresponsive
};

/// A member of the roster without a lease.
struct missing_lease
{
    model::member_record process;
    core::mono_time since{};
};

/// State of one member for roster proposals.
struct roster_state
{
    roster_settings settings;
    model::member_record self;
    bool leaving = false;
    std::optional<model::roster_document> current; ///< none: the document does not exist
    ports::revision revision = 0;
    member_list leased;
    /// The store was read since the start, the last pause and the last outage.
    bool store_was_read = false;
    std::uint64_t read_ticket = 0;         ///< ticket of the newest read requested
    std::uint64_t oldest_valid_ticket = 1; ///< oldest ticket that still counts
    /// When the first read after the start or an outage was complete.
    core::mono_time store_readable_since{};
    std::vector<peer_evidence> peers;
    std::vector<missing_lease> missing;
    std::optional<core::mono_time> last_tick;
    member_list pending_members; ///< members of the roster that this member is about to propose
    std::optional<core::mono_time> pending_since;  ///< since when pending_members differs
    core::millis pending_delay{0};                 ///< wait from pending_since until the proposal
    std::optional<core::mono_time> last_action_at; ///< time of the last action; limits repeats
};

/// Write this roster if the document still has the revision \p expected_revision.
struct propose_roster
{
    model::roster_document next;
    ports::revision expected_revision = 0;
    std::vector<std::string> reasons; ///< one reason for each change, for operators
};

/// Read the roster and the member records now, pass them to on_roster and on_leased, then call
/// on_reread.
struct reread_store
{
    std::uint64_t ticket = 0;
};

/// Write the leased record of this member again.
struct register_self
{
};

/// An action that the caller must take.
using roster_action = std::variant<propose_roster, reread_store, register_self>;

/// Handles a roster document that was read, or delivered by a watch.
/// \param document none: the document does not exist.
void on_roster(roster_state& state,
    std::optional<model::roster_document> document,
    ports::revision modified,
    core::mono_time now);

/// Records that both reads requested with \p ticket were sent after the request and have been
/// passed in. Watch events that were buffered during a pause show the state before the pause, so
/// they don't count as a read.
void on_reread(roster_state& state, std::uint64_t ticket, core::mono_time now);

/// Replaces all leased records, whether read or kept up to date by a watch.
void on_leased(roster_state& state, member_list leased, core::mono_time now);

/// Records that the store is unreachable. Its statements about leases no longer count.
void on_store_lost(roster_state& state);

/// Records that a heartbeat or an answer of this process arrived. Heartbeats must be sent to all
/// members of the roster and to all processes with a leased record.
void on_heard(roster_state& state,
    const model::member_record& process,
    const std::vector<std::string>& unresponsive_peers,
    core::mono_time now);

/// Records that the address of this process refused a connection. A process that does not answer
/// needs no event.
void on_refused(roster_state& state, const model::member_record& process, core::mono_time now);

/// Excludes this member from all further proposals.
void leave(roster_state& state);

/// \return ids of members, and of processes with a lease, that have not been heard for longer than
///   `unresponsive_after`; reported in this member's heartbeats.
std::vector<std::string> unresponsive_peers(const roster_state& state, core::mono_time now);

/// Must be called every 100 to 500 ms.
/// \param random a random number in [0, 1).
std::vector<roster_action> on_tick(roster_state& state, double random, core::mono_time now);

} // namespace camphorhitch::membership
