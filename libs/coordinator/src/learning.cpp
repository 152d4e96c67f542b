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
    return it == l.images.end() ? s.estimate
                                : core::millis{static_cast<std::int64_t>(it->second.mean_ms)};
}

core::millis expected_chain(const learnt& l, const std::vector<workflow::step>& steps)
{
    auto timed = steps;
    for (auto& it : timed)
    {
        it.estimate = expected_time(l, it);
    }
    return workflow::longest_chain(timed);
}

} // namespace camphorhitch::coordinator
