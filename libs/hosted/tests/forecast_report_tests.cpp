#include "forecast_report.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted;

TEST_GROUP(forecast_report)
{
    std::map<std::string, double> values; ///< by name and label values
    ports::telemetry tel;

    void setup() override
    {
        const auto key = [](std::string name, const ports::metric_labels& labels)
        {
            for (const auto& [label, value] : labels)
            {
                name += " " + value;
            }
            return name;
        };
        tel.gauge = [this, key](std::string name, const ports::metric_labels& labels, double value)
        {
            values[key(std::move(name), labels)] = value;
        };
        tel.count = [this, key](std::string name, const ports::metric_labels& labels, double by)
        {
            values[key(std::move(name), labels)] += by;
        };
    }
};

// Each plan reports the counts of the whole term; what was reported before must not count again.
TEST(forecast_report, gauges_follow_the_forecast_and_errors_count_once)
{
    coordinator::fleet f;
    f.forecasts["p"].in_time_core_seconds = 3;
    f.forecasts["p"].late_core_seconds = 5;
    f.forecasts["p"].wait = core::millis{1500};
    f.forecast_errors["p"] = {2, 1};
    std::map<std::string, coordinator::forecast_error_counts> reported;
    report_forecasts(f, reported, tel);
    report_forecasts(f, reported, tel);
    f.forecast_errors["p"].in_time_missed = 4;
    report_forecasts(f, reported, tel);
    DOUBLES_EQUAL(3, values["camphorhitch_forecast_core_seconds p in_time"], 1e-6);
    DOUBLES_EQUAL(5, values["camphorhitch_forecast_core_seconds p late"], 1e-6);
    DOUBLES_EQUAL(1.5, values["camphorhitch_forecast_wait_seconds p"], 1e-6);
    DOUBLES_EQUAL(4, values["camphorhitch_forecast_errors_total p in_time_missed"], 1e-6);
    DOUBLES_EQUAL(1, values["camphorhitch_forecast_errors_total p late_made"], 1e-6);
}
