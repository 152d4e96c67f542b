/// \file
/// Queries that combine wave documents and pool documents.
#pragma once

#include "fleet/ownership.hpp"
#include "fleet/policies.hpp"
#include "model/config.hpp"
#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// A wave's document as this process last read or wrote it.
struct wave_view
{
    model::wave_document document;
    std::int64_t revision = 0; ///< store revision of the document's last write; 0: no document yet
};

/// \return whether the wave may start drains, that is, its phase is canary or growing.
bool is_active(const model::wave_document& w);

/// \return whether the wave has ended, done or cancelled, and can't be resumed.
bool is_ended(const model::wave_document& w);

/// \return whether \p host was selected when the wave was started.
bool selects(const model::wave_document& w, const std::string& host);

/// \return whether the wave has admitted \p host, so that its pool may drain the host.
bool admits(const model::wave_document& w, const std::string& host);

/// \return the only wave that may maintain \p host, or nullptr: of the waves that select the host
/// and have not ended, the wave that was started first. If two waves could each maintain the host
/// again after the other, neither wave would ever end.
const model::wave_document* assigned_wave(
    const std::string& host, const std::vector<wave_view>& waves);

/// \return the active wave that is assigned to \p h and has not maintained it yet, or nullptr.
const model::wave_document* active_wave_for(
    const model::host_record& h, const std::vector<wave_view>& waves);

/// \return the policy that applies to \p d now: the policy override of an active wave that has yet
/// to maintain a host of the pool, else the pool's own policy.
model::policy_config managing_policy(const model::pool_document& d,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return the host counts of \p d without pool_counts::admitted and pool_counts::unfinished.
pool_counts count_pool(const model::pool_document& d, const model::configuration& c);

/// \return the host counts of \p d, including those that depend on \p waves.
pool_counts count_pool(const model::pool_document& d,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return whether \p pool is configured as a spare pool, which lends its hosts to other pools.
bool is_spare_pool(const model::configuration& c, const std::string& pool);

/// \return the number of borrowed hosts that \p d should have by its policy.
int borrowed_hosts_wanted(const model::pool_document& d,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return the number of borrowed hosts that \p pool has or that are in transit to it. Hosts that
/// are about to leave the pool, and failed hosts, are not counted.
int count_borrowed_hosts(const std::string& pool, const std::vector<pool_view>& pools);

/// \return the names, sorted, of the pools that should have more borrowed hosts than
/// count_borrowed_hosts() returns for them.
std::vector<std::string> pools_short_of_borrowed_hosts(const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return whether \p h, a host of a spare pool, may be lent now: it is held, and no active wave
/// has admitted it.
bool is_lendable(const model::host_record& h, const std::vector<wave_view>& waves);

/// \return the hosts that active waves have yet to maintain. Jobs are better placed on other hosts.
std::vector<std::string> hosts_awaiting_maintenance(
    const std::vector<pool_view>& pools, const std::vector<wave_view>& waves);

} // namespace camphorhitch::fleet
