#include "forecast_report.hpp"

#include <utility>

namespace camphorhitch::hosted
{

namespace
{

void count_errors(const std::string& pool,
    const char* kind,
    std::int64_t total,
    std::int64_t& reported,
    const ports::telemetry& tel)
{
    const auto before = std::exchange(reported, total);
    if (total > before)
    {
        tel.count("camphorhitch_forecast_errors_total",
            {{"pool", pool}, {"kind", kind}},
            static_cast<double>(total - before));
    }
}

} // namespace

void report_forecasts(const coordinator::fleet& f,
    std::map<std::string, coordinator::forecast_error_counts>& reported,
    const ports::telemetry& tel)
{
    for (const auto& [pool, it] : f.forecasts)
    {
        tel.gauge("camphorhitch_forecast_core_seconds",
            {{"pool", pool}, {"outlook", "in_time"}},
            it.in_time_core_seconds);
        tel.gauge("camphorhitch_forecast_core_seconds",
            {{"pool", pool}, {"outlook", "late"}},
            it.late_core_seconds);
        tel.gauge("camphorhitch_forecast_wait_seconds",
            {{"pool", pool}},
            std::chrono::duration<double>(it.wait).count());
    }
    for (const auto& [pool, it] : f.forecast_errors)
    {
        auto& before = reported[pool];
        count_errors(pool, "in_time_missed", it.in_time_missed, before.in_time_missed, tel);
        count_errors(pool, "late_made", it.late_made, before.late_made, tel);
    }
}

} // namespace camphorhitch::hosted
