#include "dispatch/run_times.hpp"

#include <cmath>

namespace camphorhitch::dispatch
{

namespace
{

constexpr double sample_weight = 0.05; // weight of the newest run in mean and deviation

core::micros to_micros(double us)
{
    return core::micros{static_cast<std::int64_t>(us)};
}

} // namespace

void record_run_time(run_times& times, core::micros elapsed)
{
    const auto sample = static_cast<double>(elapsed.count());
    const auto weight = times.samples == 0 ? 1.0 : sample_weight;
    const auto difference = times.samples == 0 ? 0.0 : std::abs(sample - times.mean_us);
    times.deviation_us += weight * (difference - times.deviation_us);
    times.mean_us += weight * (sample - times.mean_us);
    times.samples += 1;
}

core::micros mean_run_time(const run_times& times)
{
    return to_micros(times.mean_us);
}

core::micros long_run_time(const run_times& times, double deviations)
{
    return to_micros(times.mean_us + deviations * times.deviation_us);
}

} // namespace camphorhitch::dispatch
