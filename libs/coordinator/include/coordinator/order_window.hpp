/// \file
/// How many orders may be out at once, and how soon a runner is polled again, so that the owner's
/// loop keeps up with what comes back.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace camphorhitch::coordinator
{

struct window_settings
{
    /// Delay of the loop above which less is sent. A renewal of the owner's lease is due each 350
    /// ms, so a turn may be ten times as long before one is late.
    core::millis late{35};
    int first = 32;
    int least = 8; ///< so that work goes on; 8 calls take 5 ms of half a core
    int most = 512;
    int step = 2;              ///< that it grows by when it was in the way and the loop was in time
    double deepest_cut = 0.25; ///< at one look, however late
    /// Orders of one turn, stops and starts together: at 0.15 ms each 20 ms of a quarter of a core.
    int most_at_once = 32;
    core::millis shortest_gap{30}; ///< between polls of a runner with news
    /// A lease of 2,500 ms outlasts a poll's wait of 700 ms, this gap, and the time until a next
    /// poll is overdue (950 ms): then 450 ms are left, and the lease is renewed beside that poll.
    core::millis longest_gap{400};
    double gap_growth = 1.5; ///< at a look that finds the loop late
    double gap_decay = 0.95; ///< at any other
};

struct order_window
{
    int size = window_settings{}.first;
    bool was_in_the_way = false; ///< since the latest look
    core::millis gap{window_settings{}.shortest_gap};
};

/// Takes in by how much the loop was late at a look.
void see_delay(order_window& w, const window_settings& s, core::micros late_by);

/// \param out orders that were sent and not answered
/// \return the orders that may leave in this turn.
int room_for_orders(const order_window& w, const window_settings& s, std::int64_t out);

} // namespace camphorhitch::coordinator
