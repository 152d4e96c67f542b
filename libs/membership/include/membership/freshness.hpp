/// \file
/// Freshness: does this process still know the truth? And: when can others be sure that it stopped?
///
/// Every confirmation counts from the start of the request that asked for it, on the local
/// monotonic clock. An answer that was read only after a pause says what was true before the pause,
/// so its arrival must not count.
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

struct freshness_settings
{
    core::millis freshness{3000};    ///< how long a confirmation holds
    core::millis margin{500};        ///< for differences between monotonic clocks' rates
    core::millis store_window{1500}; ///< the store is reported reachable for this long after a call
    core::millis outage_grace{600000}; ///< most time without the store; then nobody is fresh
};

/// The newest answer of one peer to a heartbeat of ours.
struct peer_confirmation
{
    std::string id;
    std::string incarnation;
    core::mono_time started{}; ///< when our heartbeat was sent
    ports::epoch_number epoch = 0;
    bool store_reachable = false;
};

struct freshness_state
{
    freshness_settings settings;
    model::member_record self;
    ports::epoch_number epoch = 0; ///< adopted
    member_list members;           ///< of that epoch
    ports::epoch_number newest_known = 0;
    ports::epoch_number store_epoch = 0;          ///< that the store's newest confirmation named
    std::optional<core::mono_time> store_started; ///< start of the call that brought it
    std::vector<peer_confirmation> peers;
};

/// Adopts a newer roster; an older one is ignored.
void on_roster_adopted(freshness_state& state, const model::roster_document& roster);

/// The store answered a read of the roster.
/// \param epoch the epoch that it named. A keep-alive alone confirms no epoch and must not be fed
///   here: a member that was removed while its lease lives would stay fresh.
/// \param started when the read was sent.
void on_store_confirmed(freshness_state& state, ports::epoch_number epoch, core::mono_time started);

/// A peer answered a heartbeat of ours.
/// \param started when our heartbeat was sent.
void on_peer_confirmed(
    freshness_state& state, const ports::heartbeat& answer, core::mono_time started);

/// A heartbeat of a peer arrived. Its age is not known, so it confirms nothing, but it may tell of
/// a newer epoch.
void on_epoch_heard(freshness_state& state, ports::epoch_number epoch);

/// \return whether the store confirmed anything within the store window: what heartbeats report.
bool is_store_reachable(const freshness_state& state, core::mono_time now);

/// \return whether this process may still act under its adopted epoch.
///
/// With the store: it confirmed the adopted epoch within `freshness`. Without it: a majority of the
/// roster, this member included, is at the same epoch within `freshness`, none of whom reaches the
/// store, and the store was last reached within `outage_grace`. Two members need each other; a
/// single member is its own majority, so it serves through an outage and whoever takes over from it
/// has to wait for proof or `outage_grace`.
bool is_fresh(const freshness_state& state, core::mono_time now);

/// \return members that must agree, of \p size.
std::size_t majority_of(std::size_t size);

} // namespace camphorhitch::membership
