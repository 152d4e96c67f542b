/// \file
/// Which target takes a request.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// \return the slots of \p target that are taken, by permits and reserves.
int slots_taken(const target_state& target, core::mono_time now);

/// \return the target for \p request, or nullptr while none has room for it.
target_state* choose_target(
    pool_dispatcher& d, const waiting_request& request, core::mono_time now);

/// \return whether some target has room for a request of \p klass.
bool any_room(const pool_dispatcher& d, ports::request_class klass, core::mono_time now);

} // namespace camphorhitch::dispatch
