/// \file
/// How long the state of a job is kept after its end.
///
/// Without an end the store fills up, and each take-over reads every job there ever was. Callers
/// may ask for a state, and repeat an acceptance whose answer they missed, for a bounded time only;
/// until then the state is kept, since a repeat that met none would start the job anew.
#pragma once

#include "coordinator/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// Notes that the final state of a job is stored.
/// \param ended_unix_ms wall time of its end; 0: not known, then \p unix_ms, now, counts
void note_finished(fleet& f,
    const std::string& id,
    std::int64_t ended_unix_ms,
    ports::revision stored,
    std::int64_t unix_ms);

/// Takes out at most \p most jobs that ended \p keep ago or earlier.
std::vector<finished_job> take_expired(
    fleet& f, core::millis keep, std::int64_t unix_ms, std::size_t most);

/// The state of the job is gone from the store.
void forget_job(fleet& f, const std::string& id);

} // namespace camphorhitch::coordinator
