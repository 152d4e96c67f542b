/// \file
/// Room for urgent jobs, for jobs that found none for long, and for hosts that leave.
#pragma once

#include "place.hpp"

namespace camphorhitch::jobs
{

/// Lets jobs leave hosts that are draining: those near their end finish, those that may run again
/// are checkpointed, the others are waited for.
void leave_draining_hosts(round_state& r);

/// Throttles, or else checkpoints, what is less urgent so that waiting urgent jobs can start.
void make_room_for_urgent(round_state& r);

/// Lets throttled tasks go on at full speed where there is room again.
void unthrottle(round_state& r);

/// Keeps hosts for jobs that waited long, so that small ones don't overtake them for ever.
void keep_hosts_for_the_longest_waiting(round_state& r);

/// Forgets claims and reservations that stand no more.
void drop_old_claims(pool_jobs& all, const round_input& in);

} // namespace camphorhitch::jobs
