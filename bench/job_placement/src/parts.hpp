/// \file
/// The parts of the benchmark. Each prints its table and returns its figures.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace camphorhitch::bench
{

struct bench_settings
{
    std::uint64_t seed = 1;
    bool quick = false; ///< shorter runs
};

/// Time of a placement round, and jobs decided a second.
nlohmann::json measure_rounds(const bench_settings& how);

/// Time from submission to start beside long jobs.
nlohmann::json measure_classes(const bench_settings& how);

/// Use of the hosts and jobs hurt when declared sizes are off.
nlohmann::json measure_sizes(const bench_settings& how);

/// Writes of documents for 1,000 jobs and 1,000 cancellations.
nlohmann::json measure_writes(const bench_settings& how);

/// Starts wasted on a worker that fails everything.
nlohmann::json measure_faults(const bench_settings& how);

/// Prints whether a goal was met.
void print_goal(const char* what, double measured, const char* relation, double goal, bool met);

} // namespace camphorhitch::bench
