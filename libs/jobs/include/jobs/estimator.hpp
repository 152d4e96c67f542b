/// \file
/// Estimates the real sizes and run times of the jobs of one team and kind from measurements.
#pragma once

#include "jobs/job.hpp"
#include "jobs/settings.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::jobs
{

/// The newest ratios of measured to declared values.
struct ratio_samples
{
    std::vector<double> values; ///< a ring buffer
    std::size_t next = 0;
};

struct group_samples
{
    ratio_samples processors;
    ratio_samples memory;
    ratio_samples run_time;
};

struct estimator
{
    std::unordered_map<std::string, group_samples> groups; ///< by group_name()
};

/// The expected resources and run time of a job.
struct estimate
{
    resources size;
    core::millis run_time{0};
};

/// Adds the measurements of a job in a terminal state to its group's samples.
void record_measurements(estimator& e, const job& j);

/// \return the declared sizes and run time, multiplied by a safe quantile of the ratios measured in
/// the job's group.
estimate estimate_for(const estimator& e, const job& j, const settings& rules);

/// The factors of one group. They allow many jobs of a group to be estimated with one calculation
/// of the quantiles.
struct correction
{
    double processors = 1;
    double memory = 1;
    double run_time = 1;
};

correction correction_for(const estimator& e, const std::string& group, const settings& rules);
estimate apply_correction(const job& j, const correction& by);

} // namespace camphorhitch::jobs
