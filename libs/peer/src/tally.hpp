/// \file
/// Counters that the peer thread writes and any thread reads.
#pragma once

#include "peer/network.hpp"

#include <atomic>

namespace camphorhitch::peer
{

using tally_count = std::atomic<std::uint64_t>;

inline void add(tally_count& c, std::uint64_t by = 1)
{
    c.fetch_add(by, std::memory_order_relaxed);
}

struct tally
{
    tally_count bytes_in{0};
    tally_count bytes_out{0};
    tally_count messages_in{0};
    tally_count messages_out{0};
    std::array<tally_count, call_kind_count> sent{};
    std::array<tally_count, call_kind_count> served{};
    tally_count refused{0};
    tally_count unreachable{0};
    tally_count timed_out{0};
    tally_count not_taken{0};
    tally_count connects{0};
    tally_count accepted{0};
    tally_count turned_away{0};
    tally_count wrong_tokens{0};
    tally_count late_replies{0};
};

counters snapshot(const tally& t);

} // namespace camphorhitch::peer
