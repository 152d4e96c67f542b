/// \file
/// Scheduling of the waiting permit requests, and the end of permits and permit requests.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// Grants permits to waiting requests as long as targets have free slots, and refuses requests that
/// can't be answered within their deadline any more. Does nothing before the takeover is complete.
void grant_waiting(pool_dispatcher& d, core::mono_time now, permit_answers& out);

/// \return the reply that refuses a permit by the rule \p why.
ports::permit_reply refusal_reply(refusal why, core::millis retry_after);

/// Answers the permit request \p key with a refusal.
void refuse(pool_dispatcher& d,
    const permit_request_key& key,
    refusal why,
    core::millis retry_after,
    core::mono_time now,
    permit_answers& out);

/// Records that the sender has finished with a permit request, so that a late repeat of the request
/// gets no permit.
void close_withdrawn_request(
    pool_dispatcher& d, const permit_request_key& key, core::mono_time now);

/// Frees the slot that a permit holds, if it holds one.
void free_slot(pool_dispatcher& d, permit_record& permit);

/// Ends a permit: frees its slot and removes its record.
void release(pool_dispatcher& d, std::map<permit_request_key, permit_record>::iterator it);

} // namespace camphorhitch::dispatch
