#include "coordinator/order_window.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

int scaled(int n, double by)
{
    return static_cast<int>(static_cast<double>(n) * by);
}

core::millis scaled(core::millis n, double by)
{
    return core::millis{static_cast<std::int64_t>(static_cast<double>(n.count()) * by)};
}

} // namespace

void see_delay(order_window& w, const window_settings& s, core::micros late_by)
{
    if (late_by > s.late)
    {
        const auto bound = std::chrono::duration<double>(s.late);
        const auto fits = bound / std::chrono::duration<double>(late_by);
        w.size = std::max(s.least, scaled(w.size, std::max(fits, s.deepest_cut)));
        w.gap = std::min(s.longest_gap, scaled(w.gap, s.gap_growth));
    }
    else
    {
        w.size = std::min(s.most, w.size + (w.was_in_the_way ? s.step : 0));
        w.gap = std::max(s.shortest_gap, scaled(w.gap, s.gap_decay));
    }
    w.was_in_the_way = false;
}

int room_for_orders(const order_window& w, const window_settings& s, std::int64_t out)
{
    const auto left = std::clamp<std::int64_t>(w.size - out, 0, s.most_at_once);
    return static_cast<int>(left);
}

} // namespace camphorhitch::coordinator
