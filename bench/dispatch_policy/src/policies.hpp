/// \file
/// The policies for sharing the targets' slots that are compared.
#pragma once

#include "dispatch/settings.hpp"
#include "simulation.hpp"

namespace camphorhitch::bench
{

/// Permits from the pool's owner, with the product's request flows at the senders.
run_result run_permits(const load_settings& load);

/// Like run_permits(), but no call is timed out before its deadline.
run_result run_permits_without_timeouts(const load_settings& load);

/// Each sender owns a fixed subset of the slots and schedules them without messages.
run_result run_subsets(const load_settings& load);

/// Round robin per sender, without limits, with three retries; each attempt has an equal share of
/// the deadline.
run_result run_baseline(const load_settings& load);

/// Each sender chooses the target with the fewest of the sender's own requests. Targets queue
/// requests and refuse them when the queue is full; the sender then retries once.
run_result run_target_queues(const load_settings& load);

} // namespace camphorhitch::bench
