/// \file
/// Computes the completion forecasts of all pools from the state of the fleet.
#pragma once

#include "coordinator/fleet.hpp"

#include <functional>

namespace camphorhitch::coordinator
{

/// Computes fleet::forecasts, and job_entry::forecast of all open jobs with batch steps.
/// \param unix_ms wall time in milliseconds
/// \param share_rank \return the rank of a job by its workspace's share; lower ranks come first
void update_forecasts(fleet& f,
    core::mono_time now,
    std::int64_t unix_ms,
    const std::function<double(const job_entry&)>& share_rank);

/// Counts the outlook that a job had at first, if it was wrong. To be called when the job is
/// completed.
void record_forecast_error(fleet& f, const job_entry& j, core::mono_time now);

} // namespace camphorhitch::coordinator
