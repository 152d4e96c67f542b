/// \file
/// Passive health of targets: which of them may get how many requests.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// \return most requests at once that the target may have as far as its health goes.
int health_limit(const target_state& target, core::mono_time now);

/// \return whether a permit given now would be a probe.
bool would_probe(const target_state& target, core::mono_time now);

/// Notes a request's end at the target.
void note_success(pool_dispatcher& d, target_state& target, bool probe);
void note_failure(pool_dispatcher& d, target_state& target, bool probe, core::mono_time now);
void note_unused(target_state& target, bool probe);

/// Lets targets come back while more are ejected than the bound on their share allows.
void bound_ejections(pool_dispatcher& d);

} // namespace camphorhitch::dispatch
