/// \file
/// Metrics of the completion forecast.
#pragma once

#include "coordinator/fleet.hpp"
#include "ports/telemetry.hpp"

namespace camphorhitch::hosted
{

/// Sets the gauges of the latest forecast, and counts the outlooks that were wrong since the
/// previous report. The series are bounded by the list of pools.
/// \param reported counts of the previous reports in this term; updated
void report_forecasts(const coordinator::fleet& f,
    std::map<std::string, coordinator::forecast_error_counts>& reported,
    const ports::telemetry& tel);

} // namespace camphorhitch::hosted
