/// \file
/// Which configuration versions a member may put in force: never an older one.
#pragma once

#include <cstdint>
#include <optional>

namespace camphorhitch::membership
{

/// Where an offered configuration comes from.
enum class config_source
{
    store,      ///< read from the key-value service
    fresh_peer, ///< a member that was fresh when it offered
    stale_peer  ///< any other
};

/// \param current version in force here; none right after boot.
/// \param offered version offered.
/// \return whether to put it in force.
///
/// A version number exists only once the service accepted it, so a higher one is right whoever
/// brings it. A process that has none yet can't tell an old one from the newest: taking it from a
/// member that was cut off would bring back what operators have replaced, so it waits for a fresh
/// peer or the service itself.
bool accept_config(std::optional<std::int64_t> current, std::int64_t offered, config_source source);

} // namespace camphorhitch::membership
