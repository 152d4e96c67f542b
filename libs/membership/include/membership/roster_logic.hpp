/// \file
/// Proposes the next roster from the leased member records, the roster in force and what heartbeats
/// show. Safety rests on the store's compare-and-swap; this decides when a write is worth making,
/// and keeps nine members from making it at once.
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

struct roster_settings
{
    int refused_limit = 3;            ///< refusals in a row that prove a process gone
    core::millis silence_limit{2000}; ///< then a member is suspected
    core::millis lease_grace{1000};   ///< a lapsed lease's holder may be registering again
    core::millis settle{200};         ///< a difference must stand this long
    core::millis rank_step{400};      ///< head start of each rank over the next
    core::millis jitter{200};         ///< most, added to all ranks but the first
    core::millis return_after{5000};  ///< a removed process must be heard this long without a break
    core::millis store_settle{8000};  ///< after the store's return, leases may still be missing
    core::millis tick_gap{1000};      ///< a longer gap between ticks means that we were paused
    core::millis repeat{1000};        ///< before an action without an effect is asked for again
    std::size_t history = 16;         ///< former rosters kept
};

/// What heartbeats show of one process.
struct peer_evidence
{
    model::member_record who;
    core::mono_time heard{};       ///< last; at first, when it was first expected
    core::mono_time heard_since{}; ///< begin of the present unbroken run
    bool ever_heard = false;
    int refused = 0;                       ///< in a row
    std::vector<std::string> silent_peers; ///< that it reported
};

/// A lease that was seen to be missing.
struct missing_lease
{
    model::member_record who;
    core::mono_time since{};
};

struct roster_state
{
    roster_settings settings;
    model::member_record self;
    bool leaving = false;
    std::optional<model::roster_document> current; ///< none: no such document
    ports::revision revision = 0;
    member_list leased;
    bool read = false;              ///< since the start, the last pause and the last outage
    std::uint64_t read_ticket = 0;  ///< newest asked for
    std::uint64_t valid_ticket = 1; ///< oldest that counts
    core::mono_time store_back{};   ///< when the reading after the start or an outage ended
    std::vector<peer_evidence> peers;
    std::vector<missing_lease> missing;
    std::optional<core::mono_time> last_tick;
    member_list wanted; ///< what a standing difference asks for
    std::optional<core::mono_time> wanted_since;
    core::millis wait{0};
    std::optional<core::mono_time> acted; ///< last action; bounds repeats
};

/// Write this roster if the document's revision still is \p expected.
struct propose_roster
{
    model::roster_document next;
    ports::revision expected = 0;
    std::vector<std::string> reasons; ///< one a change, for people
};

/// Read the roster and the members' records now, call on_roster and on_leased, then on_reread.
struct reread_store
{
    std::uint64_t ticket = 0;
};

/// Write our own leased record again.
struct register_self
{
};

using roster_action = std::variant<propose_roster, reread_store, register_self>;

/// The roster document was read, or a watch brought it. \param document none: it does not exist.
void on_roster(roster_state& state,
    std::optional<model::roster_document> document,
    ports::revision modified,
    core::mono_time now);

/// Both reads that \p ticket asked for were sent after it and have been handed in. Watch events
/// that lay in a buffer during a pause show what was true before it, so they don't count as
/// reading.
void on_reread(roster_state& state, std::uint64_t ticket, core::mono_time now);

/// All leased records, read or kept up to date by a watch.
void on_leased(roster_state& state, member_list leased, core::mono_time now);

/// The store went out of reach: what it said of leases counts no longer.
void on_store_lost(roster_state& state);

/// A heartbeat of that process arrived, or it answered one. Send heartbeats to all of the roster
/// and to all with a leased record.
void on_heard(roster_state& state,
    const model::member_record& who,
    const std::vector<std::string>& silent_peers,
    core::mono_time now);

/// Its address refused a connection. Silence needs no event.
void on_refused(roster_state& state, const model::member_record& who, core::mono_time now);

/// From now on the proposals leave this member out.
void leave(roster_state& state);

/// \return members, and processes with a lease, not heard for longer than the silence limit: for
/// our heartbeats.
std::vector<std::string> silent_peers(const roster_state& state, core::mono_time now);

/// To be called every 100 to 500 ms. \param random in [0, 1).
std::vector<roster_action> on_tick(roster_state& state, double random, core::mono_time now);

} // namespace camphorhitch::membership
