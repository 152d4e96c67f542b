/// \file
/// How often an owner does what takes it longer the more hosts there are, so that a large fleet
/// leaves it the time to decide.
#pragma once

#include "hosted/fleet_driver.hpp"

#include <cstddef>

namespace camphorhitch::hosted
{

/// \return the time between two polls of one host, when all hosts together are polled so often.
core::millis time_between_polls(std::size_t hosts, double polls_per_second);

/// \return the longest wait of a poll for an end: as set, or longer where polls that bring nothing
/// would come more often than the setting allows; never so long that a lease could lapse behind it.
core::millis poll_wait_for(const driver_settings& s, std::size_t hosts);

/// \return the pause after a poll of a host that runs nothing: none in a small fleet. A host is
/// asked often enough to be given work at any time.
core::millis idle_poll_gap(const driver_settings& s, std::size_t hosts);

/// \return the time between two looks at all hosts.
/// \param shortest in a small fleet
core::millis look_every(const driver_settings& s, core::millis shortest, std::size_t hosts);

} // namespace camphorhitch::hosted
