#include "cadence.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

core::millis poll_interval_for(std::size_t hosts, double polls_per_second)
{
    constexpr double ms_per_second = 1000;
    const auto unbounded = ms_per_second * static_cast<double>(hosts) / polls_per_second;
    return core::millis{static_cast<std::int64_t>(unbounded)};
}

core::millis scaled_poll_wait(const driver_settings& s, std::size_t hosts)
{
    const auto unbounded = poll_interval_for(hosts, s.max_polls_per_second);
    return std::clamp(unbounded, s.poll_wait, s.max_poll_wait);
}

core::millis idle_poll_delay(const driver_settings& s, std::size_t hosts)
{
    const auto unbounded = poll_interval_for(hosts, s.max_idle_polls_per_second);
    return std::clamp(
        unbounded - scaled_poll_wait(s, hosts), core::millis{0}, s.max_idle_poll_delay);
}

core::millis scaled_scan_interval(
    const driver_settings& s, core::millis min_interval, std::size_t hosts)
{
    const auto unbounded = s.scan_delay_per_host * static_cast<std::int64_t>(hosts);
    return std::max(min_interval, std::chrono::ceil<core::millis>(unbounded));
}

} // namespace camphorhitch::hosted
