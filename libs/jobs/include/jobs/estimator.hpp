/// \file
/// Learns how real sizes and run times of a team's kind of job compare with the declared ones.
#pragma once

#include "jobs/job.hpp"
#include "jobs/settings.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::jobs
{

/// The newest ratios of real over declared.
struct ratio_samples
{
    std::vector<double> values; ///< a ring
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
    std::unordered_map<std::string, group_samples> groups; ///< by group_of()
};

/// What a job is expected to take.
struct estimate
{
    amounts size;
    core::millis run_time{0};
};

/// Learns from a job that is over and carries what was measured.
void learn(estimator& e, const job& j);

/// \return the declared sizes, corrected by a safe quantile of what the group's jobs really took.
estimate estimate_of(const estimator& e, const job& j, const settings& rules);

/// The same for many jobs of one group: the quantiles are worked out once.
struct correction
{
    double processors = 1;
    double memory = 1;
    double run_time = 1;
};

correction correction_of(const estimator& e, const std::string& group, const settings& rules);
estimate corrected(const job& j, const correction& by);

} // namespace camphorhitch::jobs
