/// \file
/// Limits the number of unanswered orders and the poll rate, so that the event loop of the
/// coordinator keeps up with the answers.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace camphorhitch::coordinator
{

/// Bounds of an order_window.
struct order_window_settings
{
    /// Delay of the event loop above which fewer orders are sent. The leader's lease is renewed
    /// each 350 ms, so an iteration may last ten times this long before a renewal is late.
    core::millis late_threshold{35};
    int initial_size = 32;
    /// Work continues even on an overloaded loop; 8 calls take 5 ms of half a core.
    int min_size = 8;
    int max_size = 512;
    /// Added to the size when the window limited sending and the loop was in time.
    int growth_step = 2;
    /// Smallest factor that one delay applies to the size, however large the delay.
    double min_scale = 0.25;
    /// Orders sent in one iteration of the loop, stops and starts together: at 0.15 ms each, 20 ms
    /// of a quarter of a core.
    int max_orders_per_iteration = 32;
    core::millis min_poll_delay{30}; ///< between polls of a runner that has updates
    /// A lease of 2,500 ms outlasts the wait of a poll (700 ms), this delay, and the time until the
    /// next poll is overdue (950 ms). The remaining 450 ms suffice to renew the lease beside that
    /// poll.
    core::millis max_poll_delay{400};
    double poll_delay_growth = 1.5; ///< factor of the poll delay after a late iteration
    double poll_delay_decay = 0.95; ///< factor of the poll delay after any other iteration
};

/// The bound of unanswered orders and the poll delay at present.
struct order_window
{
    /// Unanswered orders that are allowed.
    int size = order_window_settings{}.initial_size;
    /// The window kept orders from being sent since the latest call of record_loop_delay.
    bool was_limiting = false;
    core::millis poll_delay{order_window_settings{}.min_poll_delay};
};

/// Adapts the window to the delay of one loop iteration.
void record_loop_delay(order_window& w, const order_window_settings& s, core::micros late_by);

/// \param in_flight orders that were sent and have no answer yet
/// \return the number of orders that may be sent in this iteration.
int allowed_orders(const order_window& w, const order_window_settings& s, std::int64_t in_flight);

} // namespace camphorhitch::coordinator
