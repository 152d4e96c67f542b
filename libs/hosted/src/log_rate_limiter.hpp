/// \file
/// Limits the log lines of a busy process: writing them costs processor time that the work needs.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace camphorhitch::hosted
{

struct log_rate_limiter
{
    /// Average rate, and the burst that is allowed after a second without lines. The placements of
    /// a busy second (500 starts and ends) fit; an event storm does not.
    std::int64_t lines_per_second = 1200;
    std::int64_t available = 1200;    ///< lines that may be written now
    std::int64_t suppressed = 0;      ///< lines suppressed since last_reported_at
    core::mono_time last_reported_at; ///< when the number of suppressed lines was last logged
    core::mono_time refilled_at;      ///< when `available` was last increased
};

/// \return how many lines were suppressed since the last report, at most once a second; 0: there is
/// nothing to report now.
std::int64_t take_suppressed_count(log_rate_limiter& limiter, core::mono_time now);

/// \return whether a line may be written now; counts it as written or as suppressed.
bool allow_line(log_rate_limiter& limiter, core::mono_time now);

} // namespace camphorhitch::hosted
