/// \file
/// The record under forecast_key: the coordinator's completion forecast by pool, from which each
/// node decides whether it accepts a job.
#pragma once

#include "coordinator/completion_forecast.hpp"
#include "coordinator/run_time_estimates.hpp"
#include "core/result.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace camphorhitch::hosted
{

/// Forecast of one pool when the digest was made.
struct pool_digest
{
    double cores = 0;            ///< usable within the next second
    core::millis wait{0};        ///< until a job that is accepted now could start
    double admitted_core_ms = 0; ///< work that is expected in time and not done
};

/// A digest without pools stands for a digest that is not known.
struct forecast_digest
{
    std::map<std::string, pool_digest> pools;
    /// Measured run times. The number of their samples is not published.
    coordinator::run_time_estimates times;
};

/// Number of images whose run times are published, those with most samples first. The record is
/// written twice a second and read by all nodes.
inline constexpr std::size_t max_published_images = 64;

/// \return the record. A pool without capacity has no outlook and is left out: its jobs are
/// accepted.
std::string write_forecast_digest(const std::map<std::string, coordinator::pool_forecast>& pools,
    const coordinator::run_time_estimates& times);

/// \return the digest, or an error if any part of the text is not valid.
core::result<forecast_digest> read_forecast_digest(const std::string& text);

} // namespace camphorhitch::hosted
