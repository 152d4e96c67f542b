/// \file
/// Estimates of run times by image, measured on finished runs, since declared run times are often
/// far from the actual ones.
#pragma once

#include "workflow/model.hpp"

#include <map>
#include <string>

namespace camphorhitch::coordinator
{

/// Mean run time of the tasks of one image.
struct run_time_estimate
{
    double mean_ms = 0;
    int samples = 0; ///< number of measured runs, up to a bound
};

/// Measured run times.
struct run_time_estimates
{
    /// By image.
    std::map<std::string, run_time_estimate> images;
};

/// Records that a task of \p image finished after \p duration. Does nothing for an empty image.
void record_run_time(
    run_time_estimates& estimates, const std::string& image, core::millis duration);

/// \return the expected run time of a task of the step: the measured one, or else the declared one.
core::millis expected_run_time(const run_time_estimates& estimates, const workflow::step& s);

/// \return the length of the critical path through the steps, by expected run times.
core::millis expected_critical_path(
    const run_time_estimates& estimates, const std::vector<workflow::step>& steps);

/// \return the time within which the job should end, counted from its acceptance or from the due
/// time of an occurrence.
core::millis completion_objective(const run_time_estimates& estimates, const workflow::job& j);

/// \return the expected time from the start of step \p from to the end of all steps that depend on
/// it.
core::millis expected_remaining_time(
    const run_time_estimates& estimates, const std::vector<workflow::step>& steps, int from);

} // namespace camphorhitch::coordinator
