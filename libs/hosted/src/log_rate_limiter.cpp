#include "log_rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

std::int64_t take_suppressed_count(log_rate_limiter& limiter, core::mono_time now)
{
    constexpr core::millis report_interval{1000};
    if (limiter.suppressed == 0 || now - limiter.last_reported_at < report_interval)
    {
        return 0;
    }
    limiter.last_reported_at = now;
    return std::exchange(limiter.suppressed, 0);
}

bool allow_line(log_rate_limiter& limiter, core::mono_time now)
{
    const auto passed = std::chrono::duration_cast<core::millis>(now - limiter.refilled_at).count();
    const auto more = passed * limiter.lines_per_second / 1000;
    if (more > 0)
    {
        limiter.available = std::min(limiter.lines_per_second, limiter.available + more);
        limiter.refilled_at = now;
    }
    if (limiter.available > 0)
    {
        --limiter.available;
        return true;
    }
    ++limiter.suppressed;
    return false;
}

} // namespace camphorhitch::hosted
