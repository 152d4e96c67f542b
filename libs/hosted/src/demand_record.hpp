/// \file
/// What the coordinator has learnt of the demand, as a successor finds it. Without it each
/// take-over amid a busy time begins anew: hosts are sent to rest just when they are needed.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/learning.hpp"

#include <string>

namespace camphorhitch::hosted
{

/// \param unix_ms wall time that stands for \p now, since a successor has another monotonic clock
std::string write_demand(const coordinator::demand& d,
    const coordinator::learnt& l,
    core::mono_time now,
    std::int64_t unix_ms);

/// Reads a record into \p d and \p l; a damaged one changes nothing.
/// \return wall time of the record; 0 when there is none
std::int64_t read_demand(const std::string& text,
    coordinator::demand& d,
    coordinator::learnt& l,
    core::mono_time now,
    std::int64_t unix_ms);

} // namespace camphorhitch::hosted
