/// \file
/// Decides which configuration versions a member may put in force. A member never returns to an
/// older version.
#pragma once

#include <cstdint>
#include <optional>

namespace camphorhitch::membership
{

/// Where an offered configuration comes from.
enum class config_source
{
    store,      ///< read from the key-value service
    fresh_peer, ///< sent by a member that reported itself fresh in the same message
    stale_peer  ///< sent by any other member
};

/// \param current the version in force at this member; none right after the process started.
/// \param offered the version offered.
/// \return whether to put the offered version in force.
///
/// A version number exists only once the key-value service has accepted it, so a higher version is
/// correct whoever offers it. A process that has no version yet can't distinguish an old version
/// from the newest one: accepting the version of a member that was cut off could bring back
/// settings that operators have replaced. Such a process therefore waits for a fresh peer or for
/// the service itself.
bool accept_config(std::optional<std::int64_t> current, std::int64_t offered, config_source source);

} // namespace camphorhitch::membership
