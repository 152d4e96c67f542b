#include "log_rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

std::int64_t take_left_out(line_budget& b, core::mono_time now)
{
    constexpr core::millis pause{1000};
    if (b.left_out == 0 || now - b.told < pause)
    {
        return 0;
    }
    b.told = now;
    return std::exchange(b.left_out, 0);
}

bool take_line(line_budget& b, core::mono_time now)
{
    const auto passed = std::chrono::duration_cast<core::millis>(now - b.refilled).count();
    const auto more = passed * b.per_second / 1000;
    if (more > 0)
    {
        b.left = std::min(b.per_second, b.left + more);
        b.refilled = now;
    }
    if (b.left > 0)
    {
        --b.left;
        return true;
    }
    ++b.left_out;
    return false;
}

} // namespace camphorhitch::hosted
