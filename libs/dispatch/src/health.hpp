/// \file
/// Passive health checks of targets: how many requests each target may get.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// \return the maximum number of requests at once that the target's health allows.
int health_limit(const target_state& target, core::mono_time now);

/// \return whether a permit granted now would be a probe.
bool would_probe(const target_state& target, core::mono_time now);

/// Record how a request at the target ended: answered, failed, or not sent.
/// \param probe whether the request was a probe.
void record_success(pool_dispatcher& d, target_state& target, bool probe);
void record_failure(pool_dispatcher& d, target_state& target, bool probe, core::mono_time now);
void record_unused(target_state& target, bool probe);

/// Ends ejections while more targets are ejected than health_settings::max_ejected_share allows.
void limit_ejections(pool_dispatcher& d);

} // namespace camphorhitch::dispatch
