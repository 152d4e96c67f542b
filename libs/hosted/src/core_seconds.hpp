/// \file
/// Work of a job in core-seconds, as demand counts it.
#pragma once

#include "coordinator/run_time_estimates.hpp"
#include "workflow/model.hpp"

namespace camphorhitch::hosted
{

/// \return the work of one occurrence of the job, without its long-running steps, in core-seconds.
inline double batch_core_seconds(
    const coordinator::run_time_estimates& times, const workflow::job& j)
{
    constexpr double milli = 1000.0;
    double work = 0;
    for (const auto& s : j.steps)
    {
        if (!s.long_running)
        {
            work += static_cast<double>(s.need.cpu * s.tasks) / milli *
                    static_cast<double>(coordinator::expected_run_time(times, s).count()) / milli;
        }
    }
    return work;
}

} // namespace camphorhitch::hosted
