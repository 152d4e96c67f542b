/// \file
/// Which waiting request goes next, and to which target.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// \return the slots of \p target that are taken, by permits and reserves.
int slots_taken(const target_state& target, core::mono_time now);

/// Grants permits while there is a request that may go and a target that may take it, and refuses
/// requests whose deadline has passed.
void serve(pool_dispatcher& d, core::mono_time now, permit_answers& out);

/// Answers \p request with a refusal.
void refuse(pool_dispatcher& d,
    const ask_key& key,
    refusal why,
    core::millis retry_after,
    core::mono_time now,
    permit_answers& out);

/// Remembers that an ask is over, so that a late repeat of it gets no permit that nobody returns.
void close_ask(pool_dispatcher& d, const ask_key& key, core::mono_time now);

/// Takes a permit off its target's counts.
void release(pool_dispatcher& d, std::map<ask_key, permit_record>::iterator it);

} // namespace camphorhitch::dispatch
