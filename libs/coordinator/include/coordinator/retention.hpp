/// \file
/// Retention of the state of finished jobs.
///
/// Without a bound the store would fill up, and each takeover would read every job that was ever
/// accepted. Callers may ask for the state of a job, and repeat a submission whose answer they
/// missed, for a bounded time only. The state is kept for that long, since a repeated submission
/// that finds no state would start the job again.
#pragma once

#include "coordinator/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// Records that the final state of a job is stored.
/// \param ended_unix_ms wall time of its end in milliseconds; 0: unknown, then \p unix_ms is used
/// \param stored store revision of the final state
/// \param unix_ms wall time now in milliseconds
void record_finished_job(fleet& f,
    const std::string& id,
    std::int64_t ended_unix_ms,
    ports::revision stored,
    std::int64_t unix_ms);

/// Removes from the fleet's list, and returns, at most \p max_jobs finished jobs that ended at
/// least \p retention ago.
std::vector<finished_job> take_expired_jobs(
    fleet& f, core::millis retention, std::int64_t unix_ms, std::size_t max_jobs);

/// Removes a finished job without runs, after its state was removed from the store.
void purge_job(fleet& f, const std::string& id);

} // namespace camphorhitch::coordinator
