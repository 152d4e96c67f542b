/// \file
/// Frees capacity for urgent jobs, reserves hosts for long-waiting jobs, and releases jobs from
/// hosts that are drained.
#pragma once

#include "place.hpp"

namespace camphorhitch::jobs
{

/// Releases jobs from draining hosts: jobs near their end finish, jobs that may run again are
/// checkpointed, and the others run to their end.
void release_from_draining_hosts(round_state& r);

/// Throttles less urgent tasks, or else checkpoints them, so that waiting urgent jobs can start.
void free_capacity_for_urgent(round_state& r);

/// Returns throttled tasks to full speed where there is free capacity again.
void unthrottle_tasks(round_state& r);

/// Reserves hosts for jobs that waited long, so that small jobs don't overtake them for ever.
void reserve_hosts_for_longest_waiting(round_state& r);

/// Removes capacity claims and reservations that are no longer valid.
void remove_stale_claims(pool_jobs& all, const round_input& in);

} // namespace camphorhitch::jobs
