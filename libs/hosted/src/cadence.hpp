/// \file
/// Intervals of the coordinator's periodic work whose cost grows with the number of hosts. They
/// grow with the fleet, so that the coordinator of a large fleet has time left to plan.
#pragma once

#include "hosted/fleet_driver.hpp"

#include <cstddef>

namespace camphorhitch::hosted
{

/// \return the time between two polls of one host, if all hosts together are polled at this rate.
core::millis poll_interval_for(std::size_t hosts, double polls_per_second);

/// \return how long a runner holds a poll open until a run ends: driver_settings::poll_wait, or
/// longer where polls without news would exceed max_polls_per_second. At most max_poll_wait, so
/// that no lease can expire while a poll is open.
core::millis scaled_poll_wait(const driver_settings& s, std::size_t hosts);

/// \return the delay after a poll of a host that runs nothing; 0 in a small fleet. It is short
/// enough that a host may be given work at any time.
core::millis idle_poll_delay(const driver_settings& s, std::size_t hosts);

/// \return the time between two scans of all hosts.
/// \param min_interval interval in a small fleet
core::millis scaled_scan_interval(
    const driver_settings& s, core::millis min_interval, std::size_t hosts);

} // namespace camphorhitch::hosted
