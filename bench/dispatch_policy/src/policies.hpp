/// \file
/// The ways to share the targets' slots that are measured against each other.
#pragma once

#include "dispatch/settings.hpp"
#include "simulation.hpp"

namespace camphorhitch::bench
{

/// Permits from the pool's owner, and real request flows at the senders.
run_result run_permits(const load_settings& load);

/// The same, but no call is given up before its deadline.
run_result run_permits_patient(const load_settings& load);

/// Each sender owns a fixed subset of the slots and schedules them alone, without messages.
run_result run_subsets(const load_settings& load);

/// Round robin per sender, no limits, three retries, each attempt with a share of the deadline.
run_result run_baseline(const load_settings& load);

/// Each sender picks the target with the fewest requests of its own; targets queue and refuse when
/// their queue is full; one retry elsewhere.
run_result run_target_queues(const load_settings& load);

} // namespace camphorhitch::bench
