/// \file
/// Counters that are written by the peer thread and read by any thread.
#pragma once

#include "peer/network.hpp"

#include <atomic>

namespace camphorhitch::peer
{

using atomic_counter = std::atomic<std::uint64_t>;

inline void add(atomic_counter& c, std::uint64_t by = 1)
{
    c.fetch_add(by, std::memory_order_relaxed);
}

struct atomic_counters
{
    atomic_counter bytes_in{0};
    atomic_counter bytes_out{0};
    atomic_counter messages_in{0};
    atomic_counter messages_out{0};
    std::array<atomic_counter, call_kind_count> sent{};
    std::array<atomic_counter, call_kind_count> served{};
    atomic_counter refused{0};
    atomic_counter unreachable{0};
    atomic_counter timed_out{0};
    atomic_counter calls_over_limit{0};
    atomic_counter connection_attempts{0};
    atomic_counter connections_accepted{0};
    atomic_counter connections_rejected{0};
    atomic_counter wrong_tokens{0};
    atomic_counter late_replies{0};
};

/// \return a copy of the counters' present values.
counters snapshot(const atomic_counters& from);

} // namespace camphorhitch::peer
