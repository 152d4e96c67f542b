/// \file
/// What the coordinator has learnt of the demand, as a successor finds it. Without it each
/// take-over amid a busy time begins anew: hosts are sent to rest just when they are needed.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/run_time_estimates.hpp"
#include "ports/metadata_store.hpp"

#include <string>

namespace camphorhitch::hosted
{

/// \param through the store's revision of the newest job whose arrival is counted
/// \param unix_ms wall time that stands for \p now, since a successor has another monotonic clock
std::string write_demand(const coordinator::demand& d,
    const coordinator::run_time_estimates& l,
    ports::revision through,
    core::mono_time now,
    std::int64_t unix_ms);

/// Reads a record into \p d and \p l; a damaged one changes nothing.
///
/// Which arrivals are in it is told by the store's revisions, which all owners share. Told by a
/// time of day, a record of a clock that is ahead would hide what comes after it, and one of an
/// owner that lagged what that owner had not seen. How old it is only times of day can tell: they
/// differ by seconds, and the rates then decay too far or not at all. Work that waits is counted
/// from the jobs, so a pool is never thought idle for that.
/// \param written the record's own revision
/// \return revision up to which arrivals are counted in it; \p written when the record tells none,
/// as those of a version before do, or a later one; 0 when it is damaged
ports::revision read_demand(const std::string& text,
    ports::revision written,
    coordinator::demand& d,
    coordinator::run_time_estimates& l,
    core::mono_time now,
    std::int64_t unix_ms);

} // namespace camphorhitch::hosted
