/// \file
/// Clocks of the decisions: time is always passed in, so these clocks have no now().
#pragma once

#include <chrono>
#include <cstdint>

namespace camphorhitch::core
{

using millis = std::chrono::milliseconds;
using micros = std::chrono::microseconds;

/// The local monotonic clock of one process. Its points mean nothing to another process.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Wall time, for people and records only; no decision compares two hosts' wall times.
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

/// \return milliseconds since 1970, for documents and logs.
inline std::int64_t to_unix_ms(wall_time t)
{
    return t.time_since_epoch().count();
}

/// \param ms milliseconds since 1970.
inline wall_time from_unix_ms(std::int64_t ms)
{
    return wall_time{millis{ms}};
}

} // namespace camphorhitch::core
