#include "coordinator/learning.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// The newest run never weighs less than one in so many, so that a change shows.
constexpr int most_weight = 20;

} // namespace

void learn_time(learnt& l, const std::string& image, core::millis took)
{
    if (image.empty())
    {
        return;
    }
    auto& it = l.images[image];
    it.runs = std::min(it.runs + 1, most_weight);
    it.mean_ms += (static_cast<double>(took.count()) - it.mean_ms) / it.runs;
}

core::millis expected_time(const learnt& l, const workflow::step& s)
{
    const auto it = l.images.find(s.image);
    return it == l.images.end() ? s.estimated_run_time
                                : core::millis{static_cast<std::int64_t>(it->second.mean_ms)};
}

core::millis expected_chain(const learnt& l, const std::vector<workflow::step>& steps)
{
    auto timed = steps;
    for (auto& it : timed)
    {
        it.estimated_run_time = expected_time(l, it);
    }
    return workflow::critical_path(timed);
}

core::millis objective_of(const learnt& l, const workflow::job& j)
{
    const auto chain = static_cast<double>(expected_chain(l, j.steps).count());
    return core::millis{static_cast<std::int64_t>(chain * j.stretch)} + j.slack;
}

core::millis time_to_end(const learnt& l, const std::vector<workflow::step>& steps, int from)
{
    const auto first = static_cast<std::size_t>(from);
    std::vector<core::millis> ends(steps.size(), core::millis{-1}); // -1: does not wait for it
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
            ends[i] = begin + expected_time(l, steps[i]);
            longest = std::max(longest, ends[i]);
        }
    }
    return longest;
}

} // namespace camphorhitch::coordinator
