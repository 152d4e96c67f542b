/// \file
/// Port to time and to the one thread on which all decisions run.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>

namespace camphorhitch::ports
{

/// A timer's handle; 0 is none.
using timer_id = std::uint64_t;

/// Time and the event loop. All callbacks of all ports run on this loop's thread.
struct scheduler
{
    std::function<core::mono_time()> now;
    std::function<core::wall_time()> wall_now;
    /// Runs \p fn soon on the loop; the only member that other threads may call.
    std::function<void(std::function<void()> fn)> post;
    std::function<timer_id(core::millis delay, std::function<void()> fn)> after;
    std::function<void(timer_id)> cancel;
};

} // namespace camphorhitch::ports
