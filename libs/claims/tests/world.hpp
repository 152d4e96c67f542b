/// \file
/// A few members over a bag of messages, on virtual time: the pure decisions of membership and
/// claims with everything between them that can go wrong.
#pragma once

#include "history.hpp"

#include <cstdint>
#include <vector>

namespace camphorhitch::claims::testing
{

enum class fault_kind
{
    pause,   ///< a process stands still and wakes with its old view
    restart, ///< killed; a new process of the same id and address follows
    replace, ///< its host is gone; a new host of another id follows
    leave,   ///< graceful; a new host follows
    store_outage,
    store_forgets, ///< answers of the store are lost after the write
    cut_from_peers,
    cut_from_store,
    isolate,     ///< cut from both; callers still reach it
    split,       ///< the hosts can't reach the other half, and one half may lose the store
    bad_network, ///< many losses, long delays
    reshuffle    ///< several rosters in a row, each without one that is well, or with it again
};

struct fault
{
    fault_kind kind = fault_kind::pause;
    int at_ms = 0;
    int host = 0; ///< which of those that run then
    int length_ms = 0;
};

struct world_options
{
    std::uint64_t seed = 1;
    int members = 3;
    int run_ms = 60000;
    std::vector<fault> faults;
};

/// Counts that show what a run reached.
struct world_counts
{
    std::uint64_t steps = 0; ///< events that some process handled
    std::uint64_t epochs = 0;
    std::uint64_t sent = 0;
    std::uint64_t reasons[outcome_reason_names.size()] = {};
};

struct world_result
{
    history seen;
    world_counts counts;
};

/// The key memory that the members of a world are given.
inline constexpr core::millis world_key_memory{5000};

world_result run_world(const world_options& options);

} // namespace camphorhitch::claims::testing
