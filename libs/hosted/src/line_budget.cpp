#include "line_budget.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

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
