/// \file
/// Port to the clocks and to the event loop, whose single thread runs all decisions.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>

namespace camphorhitch::ports
{

/// Handle of a timer; 0: none.
using timer_id = std::uint64_t;

/// Clocks and the event loop. The callbacks of all ports run on the loop's thread.
struct scheduler
{
    std::function<core::mono_time()> now;
    std::function<core::wall_time()> wall_now;
    /// Runs \p fn in one of the next iterations of the loop. This is the only member that other
    /// threads may call.
    std::function<void(std::function<void()> fn)> post;
    /// Runs \p fn once when \p delay has passed.
    std::function<timer_id(core::millis delay, std::function<void()> fn)> after;
    std::function<void(timer_id)> cancel;
};

} // namespace camphorhitch::ports
