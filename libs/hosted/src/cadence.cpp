#include "cadence.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

core::millis time_between_polls(std::size_t hosts, double polls_per_second)
{
    constexpr double ms_per_second = 1000;
    const auto fair = ms_per_second * static_cast<double>(hosts) / polls_per_second;
    return core::millis{static_cast<std::int64_t>(fair)};
}

core::millis poll_wait_for(const driver_settings& s, std::size_t hosts)
{
    const auto fair = time_between_polls(hosts, s.most_polls_per_second);
    return std::clamp(fair, s.poll_wait, s.longest_poll_wait);
}

core::millis idle_poll_gap(const driver_settings& s, std::size_t hosts)
{
    const auto fair = time_between_polls(hosts, s.most_idle_polls_per_second);
    return std::clamp(fair - poll_wait_for(s, hosts), core::millis{0}, s.longest_idle_gap);
}

core::millis look_every(const driver_settings& s, core::millis shortest, std::size_t hosts)
{
    const auto fair = s.look_pause_each * static_cast<std::int64_t>(hosts);
    return std::max(shortest, std::chrono::ceil<core::millis>(fair));
}

} // namespace camphorhitch::hosted
