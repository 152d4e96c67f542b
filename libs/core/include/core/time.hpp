/// \file
/// Clock types for decisions. Time is always passed in as a parameter, so these clocks have no
/// now().
#pragma once

#include <chrono>
#include <cstdint>

namespace camphorhitch::core
{

using millis = std::chrono::milliseconds;
using micros = std::chrono::microseconds;

/// The monotonic clock of one process. Its time points are meaningless to other processes.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Wall time, for people and records only. No decision compares the wall times of two hosts.
struct wall_clock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<wall_clock, duration>;
    static constexpr bool is_steady = false;
};

using mono_time = monotonic_clock::time_point;
using wall_time = wall_clock::time_point;

/// \return milliseconds since 1970 (UTC), for documents and logs.
inline std::int64_t to_unix_ms(wall_time t)
{
    return t.time_since_epoch().count();
}

/// \param ms milliseconds since 1970 (UTC)
inline wall_time from_unix_ms(std::int64_t ms)
{
    return wall_time{millis{ms}};
}

} // namespace camphorhitch::core
