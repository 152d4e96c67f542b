/// \file
/// Expiry of permits that were not returned and of slot reservations.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// Frees the slots and removes the permits whose time has passed.
void expire_permits(pool_dispatcher& d, core::mono_time now);

/// Removes slot reservations, and records of uncounted permits, whose time has passed.
void expire_reservations(pool_dispatcher& d, core::mono_time now);

/// Removes targets that serve no longer and have no slot in use. A target with outstanding permits
/// is kept until they are returned.
void remove_unused_targets(pool_dispatcher& d, core::mono_time now);

/// \return the earliest time at which on_tick() has something to do.
core::mono_time earliest_wakeup(const pool_dispatcher& d, core::mono_time now);

} // namespace camphorhitch::dispatch
