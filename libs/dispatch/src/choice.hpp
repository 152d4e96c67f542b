/// \file
/// Choice of the target for a request.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// \return the number of slots of \p target that permits and reservations take.
int slots_taken(const target_state& target, core::mono_time now);

/// \return the target for \p request, or nullptr if no target has a free slot for it.
target_state* choose_target(
    pool_dispatcher& d, const waiting_request& request, core::mono_time now);

/// \return whether any target has a free slot for a request of \p klass.
bool has_free_target(const pool_dispatcher& d, ports::request_class klass, core::mono_time now);

} // namespace camphorhitch::dispatch
