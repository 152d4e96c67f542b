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

void record_loop_delay(order_window& w, const order_window_settings& s, core::micros late_by)
{
    if (late_by > s.late_threshold)
    {
        const auto bound = std::chrono::duration<double>(s.late_threshold);
        const auto fits = bound / std::chrono::duration<double>(late_by);
        w.size = std::max(s.min_size, scaled(w.size, std::max(fits, s.min_scale)));
        w.poll_delay = std::min(s.max_poll_delay, scaled(w.poll_delay, s.poll_delay_growth));
    }
    else
    {
        w.size = std::min(s.max_size, w.size + (w.was_limiting ? s.growth_step : 0));
        w.poll_delay = std::max(s.min_poll_delay, scaled(w.poll_delay, s.poll_delay_decay));
    }
    w.was_limiting = false;
}

int allowed_orders(const order_window& w, const order_window_settings& s, std::int64_t in_flight)
{
    const auto left = std::clamp<std::int64_t>(w.size - in_flight, 0, s.max_orders_per_iteration);
    return static_cast<int>(left);
}

} // namespace camphorhitch::coordinator
