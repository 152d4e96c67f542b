/// \file
/// Load of the coordinator, and since when a task could have started.
#pragma once

#include "coordinator/fleet.hpp"

#include <cstdint>
#include <optional>

namespace camphorhitch::coordinator
{

/// Levels at one moment, for the log and the metrics.
struct fleet_load
{
    std::int64_t tasks_waiting = 0;             ///< tasks that could start now and have no run
    std::int64_t jobs_without_start_answer = 0; ///< result of jobs_without_start_answer()
    std::int64_t jobs_dirty = 0;                ///< jobs whose progress must be stored
    std::int64_t hosts = 0;
    std::int64_t hosts_unresponsive = 0; ///< listed hosts whose latest poll was not answered
    /// Hosts with less than a third of a lease left that has not expired.
    std::int64_t hosts_near_lease_expiry = 0;
    /// Inherited jobs with waiting tasks that wait for the runs of a host to become known.
    std::int64_t jobs_held_back = 0;
    std::int64_t hosts_unseen = 0; ///< inherited hosts that were not polled completely yet
    /// Longest time to the expiry of the leases of a host that does not answer, in milliseconds.
    std::int64_t longest_lease_ms = 0;
};

/// \return number of waiting jobs that have ordered starts, none of which was answered by a runner.
std::int64_t jobs_without_start_answer(const fleet& f);

/// \param unix_ms wall time in milliseconds; tasks that are due later are not counted as waiting
fleet_load measure_load(const fleet& f, core::mono_time now, std::int64_t unix_ms);

/// \param unix_ms wall time at \p now in milliseconds
/// \return the time since which the task could have started: its job was read, the steps it depends
/// on were done and its due time had come; nothing when \p run is not its first run of this term,
/// or when the time is unknown.
std::optional<core::mono_time> task_ready_time(const fleet& f,
    const workflow::task_name& name,
    std::int64_t run,
    core::mono_time now,
    std::int64_t unix_ms);

} // namespace camphorhitch::coordinator
