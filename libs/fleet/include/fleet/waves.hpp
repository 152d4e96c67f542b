/// \file
/// What waves and pools ask about one another's documents.
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

/// A wave's document as this process last saw it.
struct wave_view
{
    model::wave_document document;
    std::int64_t revision = 0; ///< of the document's last write; 0: it does not exist yet
};

/// \return whether the wave may start drains.
bool is_active(const model::wave_document& w);

/// \return whether the wave is over for good.
bool is_ended(const model::wave_document& w);

bool selects(const model::wave_document& w, const std::string& host);
bool admits(const model::wave_document& w, const std::string& host);

/// \return the one wave that may maintain \p host: of those that select it and have not ended, the
/// one started first. Two waves that each maintained it again after the other would never end.
const model::wave_document* claimant(const std::string& host, const std::vector<wave_view>& waves);

/// \return the active wave that works on \p h and has not maintained it yet, or nullptr.
const model::wave_document* working_wave(
    const model::host_record& h, const std::vector<wave_view>& waves);

/// \return the policy by which \p d is managed now: that of a wave at work on it, or its own.
model::policy_config managing_policy(const model::pool_document& d,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return what a policy weighs in \p d, without the work that waves have for it.
pool_need need_of(const model::pool_document& d, const model::configuration& c);

/// \return what a policy weighs in \p d.
pool_need need_of(const model::pool_document& d,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return whether \p pool holds spare hosts for the others.
bool is_spare_pool(const model::configuration& c, const std::string& pool);

/// \return guests that \p d should have by its policy.
int guests_wanted(const model::pool_document& d,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return guests that \p pool has or that are on their way to it, less those on their way out.
int guests_of(const std::string& pool, const std::vector<pool_view>& pools);

/// \return the pools that want more guests than they have or await, by name.
std::vector<std::string> pools_short_of_guests(const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves,
    const model::configuration& c);

/// \return whether \p h, a host of the spare pool \p pool, may be lent now.
bool is_lendable(const model::host_record& h, const std::vector<wave_view>& waves);

/// \return hosts that active waves have yet to maintain; jobs are better placed on others.
std::vector<std::string> upcoming_hosts(
    const std::vector<pool_view>& pools, const std::vector<wave_view>& waves);

} // namespace camphorhitch::fleet
