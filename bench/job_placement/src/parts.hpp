/// \file
/// The parts of the benchmark. Each part prints a table and returns its measurements as JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace camphorhitch::bench
{

/// Settings of all parts.
struct bench_settings
{
    std::uint64_t seed = 1;
    bool quick = false; ///< shorter runs
};

/// Measures the time of a placement round and the number of jobs decided per second.
nlohmann::json measure_rounds(const bench_settings& settings);

/// Measures the time from submission to start while long jobs fill the hosts.
nlohmann::json measure_classes(const bench_settings& settings);

/// Measures the use of the hosts and the number of killed and slowed jobs when declared sizes are
/// wrong.
nlohmann::json measure_sizes(const bench_settings& settings);

/// Counts the writes of documents for 1,000 jobs and 1,000 cancellations.
nlohmann::json measure_writes(const bench_settings& settings);

/// Counts the starts that are wasted on a worker that fails every task.
nlohmann::json measure_faults(const bench_settings& settings);

/// Prints whether a goal was met.
void print_goal(const char* what, double measured, const char* relation, double goal, bool met);

} // namespace camphorhitch::bench
