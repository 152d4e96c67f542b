/// \file
/// What time alone ends: permits nobody returned, reserves, closed asks.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

void expire_permits(pool_dispatcher& d, core::mono_time now);
void expire_reserves(pool_dispatcher& d, core::mono_time now);

/// A host out of sight is kept while permits for it are out: they still have to come back.
void forget_unused(pool_dispatcher& d, core::mono_time now);

/// \return when the next of them ends.
core::mono_time earliest_wake(const pool_dispatcher& d, core::mono_time now);

} // namespace camphorhitch::dispatch
