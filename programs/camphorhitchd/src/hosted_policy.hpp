/// \file
/// The operators' policy as the coordinator's settings.
#pragma once

#include "hosted/fleet_driver.hpp"
#include "settings/hosted_settings.hpp"

namespace camphorhitch::daemon
{

/// Takes the policy into the settings of a term.
void apply_policy(const settings::hosted_policy& from, hosted::driver_settings& to);

} // namespace camphorhitch::daemon
