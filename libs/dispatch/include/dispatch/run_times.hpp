/// \file
/// How long requests of a class run, as measured: a mean and the mean difference from it.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace camphorhitch::dispatch
{

struct run_times
{
    double mean_us = 0;
    double deviation_us = 0;
    std::uint64_t samples = 0;
};

void note_run(run_times& times, core::micros elapsed);

core::micros mean_run(const run_times& times);

/// \return the mean and \p deviations of it; 0 without samples.
core::micros long_run(const run_times& times, double deviations);

} // namespace camphorhitch::dispatch
