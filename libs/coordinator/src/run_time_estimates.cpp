#include "coordinator/run_time_estimates.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// The weight of the newest run is at least one in this many, so that a change of run times shows.
constexpr int max_weight = 20;

} // namespace

void record_run_time(run_time_estimates& estimates, const std::string& image, core::millis duration)
{
    if (image.empty())
    {
        return;
    }
    auto& it = estimates.images[image];
    it.samples = std::min(it.samples + 1, max_weight);
    it.mean_ms += (static_cast<double>(duration.count()) - it.mean_ms) / it.samples;
}

core::millis expected_run_time(const run_time_estimates& estimates, const workflow::step& s)
{
    const auto it = estimates.images.find(s.image);
    return it == estimates.images.end()
               ? s.estimated_run_time
               : core::millis{static_cast<std::int64_t>(it->second.mean_ms)};
}

core::millis expected_critical_path(
    const run_time_estimates& estimates, const std::vector<workflow::step>& steps)
{
    std::vector<core::millis> ends(steps.size(), core::millis{0});
    core::millis longest{0};
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        core::millis begin{0};
        for (const int before : steps[i].depends_on)
        {
            begin = std::max(begin, ends[static_cast<std::size_t>(before)]);
        }
        ends[i] = begin + expected_run_time(estimates, steps[i]);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

core::millis completion_objective(const run_time_estimates& estimates, const workflow::job& j)
{
    const auto chain = static_cast<double>(expected_critical_path(estimates, j.steps).count());
    return core::millis{static_cast<std::int64_t>(chain * j.stretch)} + j.slack;
}

core::millis expected_remaining_time(
    const run_time_estimates& estimates, const std::vector<workflow::step>& steps, int from)
{
    const auto first = static_cast<std::size_t>(from);
    // -1: the step doesn't depend on \p from.
    std::vector<core::millis> ends(steps.size(), core::millis{-1});
    core::millis longest{0};
    for (std::size_t i = first; i < steps.size(); ++i)
    {
        core::millis begin{i == first ? 0 : -1};
        for (const int before : steps[i].depends_on)
        {
            const auto it = static_cast<std::size_t>(before);
            begin = it < first ? begin : std::max(begin, ends[it]);
        }
        if (begin.count() >= 0)
        {
            ends[i] = begin + expected_run_time(estimates, steps[i]);
            longest = std::max(longest, ends[i]);
        }
    }
    return longest;
}

} // namespace camphorhitch::coordinator
