/// \file
/// Which waiting request goes next, and to which target.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// Grants permits while there is a request that may go and a target that may take it, and refuses
/// requests whose deadline has passed. Does nothing before a take-over is complete.
void serve(pool_dispatcher& d, core::mono_time now, permit_answers& out);

ports::permit_reply refusal_reply(refusal why, core::millis retry_after);

/// Answers \p key with a refusal.
void refuse(pool_dispatcher& d,
    const ask_key& key,
    refusal why,
    core::millis retry_after,
    core::mono_time now,
    permit_answers& out);

/// Remembers that the sender is done with an ask: a late repeat of it must get no permit.
void close_given_up(pool_dispatcher& d, const ask_key& key, core::mono_time now);

/// Takes a permit off its target's counts.
void free_slot(pool_dispatcher& d, permit_record& permit);

/// Ends a permit.
void release(pool_dispatcher& d, std::map<ask_key, permit_record>::iterator it);

} // namespace camphorhitch::dispatch
