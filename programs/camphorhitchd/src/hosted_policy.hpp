/// \file
/// Conversion of the operators' policy to the coordinator's settings.
#pragma once

#include "hosted/fleet_driver.hpp"
#include "settings/hosted_settings.hpp"

namespace camphorhitch::daemon
{

/// Applies the policy to the settings with which the node coordinates.
void apply_policy(const settings::hosted_policy& from, hosted::driver_settings& to);

} // namespace camphorhitch::daemon
