/// \file
/// Freshness: whether this process may still assume that its adopted epoch is the current one.
///
/// Every confirmation is dated with the start of the request that asked for it, on the local
/// monotonic clock. An answer that is read after a pause of the process describes the state before
/// the pause, so the arrival of an answer must not be used as its date.
#pragma once

#include "core/time.hpp"
#include "membership/owners.hpp"
#include "ports/peer.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::membership
{

/// Durations of the freshness rule.
struct freshness_settings
{
    core::millis freshness{3000}; ///< how long a confirmation is valid
    core::millis margin{500}; ///< allowance for different rates of the members' monotonic clocks
    /// Heartbeats report the store as reachable for this long after the start of a confirmed read.
    core::millis store_window{1500};
    /// Longest time without the store; afterwards no member is fresh.
    core::millis outage_grace{600000};
};

/// The newest answer of one peer to a heartbeat of this process.
struct peer_confirmation
{
    std::string id;
    std::string incarnation;
    core::mono_time started{}; ///< when this process sent the heartbeat
    ports::epoch_number epoch = 0;
    bool store_reachable = false;
};

/// State of one member for the freshness rule.
struct freshness_state
{
    freshness_settings settings;
    model::member_record self;
    ports::epoch_number epoch = 0;              ///< the adopted epoch
    member_list members;                        ///< members of the adopted epoch
    ports::epoch_number newest_known_epoch = 0; ///< newest epoch named by the store or by any peer
    ports::epoch_number store_epoch = 0;        ///< epoch named in the store's newest confirmation
    /// Start of the read that brought the store's newest confirmation.
    std::optional<core::mono_time> store_read_started;
    std::vector<peer_confirmation> peers;
};

/// Adopts a newer roster. An older roster, or the same one, is ignored.
void on_roster_adopted(freshness_state& state, const model::roster_document& roster);

/// Records that the store answered a read of the roster.
/// \param epoch the epoch in the answer. A lease keep-alive alone confirms no epoch and must not be
///   passed here: otherwise, a member that was removed from the roster while its lease is still
///   valid would stay fresh.
/// \param started when the read was sent.
void on_store_confirmed(freshness_state& state, ports::epoch_number epoch, core::mono_time started);

/// Records that a peer answered a heartbeat of this process.
/// \param started when this process sent the heartbeat.
void on_peer_confirmed(
    freshness_state& state, const ports::heartbeat& answer, core::mono_time started);

/// Records the epoch in a heartbeat received from a peer. The age of a received heartbeat is
/// unknown, so it confirms nothing, but it may name a newer epoch.
void on_epoch_heard(freshness_state& state, ports::epoch_number epoch);

/// \return whether the store confirmed any epoch within `store_window`; heartbeats report this
///   value.
bool is_store_reachable(const freshness_state& state, core::mono_time now);

/// \return whether this process may still act under its adopted epoch.
///
/// While the store is reachable, the store must have confirmed the adopted epoch within
/// `freshness`. Without the store, all of the following must hold: a majority of the roster,
/// including this member, confirmed the same epoch within `freshness`; none of the peers heard
/// within that time reaches the store; and the store was last reached within `outage_grace`. Of two
/// members, each needs the other. A single member is its own majority, so it keeps serving through
/// an outage of the store, and a member that takes over from it has to wait for proof that its
/// process ended or for `outage_grace`.
bool is_fresh(const freshness_state& state, core::mono_time now);

/// \return the smallest number of members that is a majority of \p size members.
std::size_t majority_of(std::size_t size);

} // namespace camphorhitch::membership
