/// \file
/// Measured run times of a class of requests: the mean, and the mean deviation from it.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace camphorhitch::dispatch
{

/// Exponentially weighted statistics of run times.
struct run_times
{
    double mean_us = 0;      ///< mean run time, in microseconds
    double deviation_us = 0; ///< mean absolute deviation from the mean, in microseconds
    std::uint64_t samples = 0;
};

/// Adds the run time of one request.
void record_run_time(run_times& times, core::micros elapsed);

/// \return the mean run time; 0 without samples.
core::micros mean_run_time(const run_times& times);

/// \return the mean run time plus \p deviations mean deviations; 0 without samples.
core::micros long_run_time(const run_times& times, double deviations);

} // namespace camphorhitch::dispatch
