/// \file
/// A simulation of several members on virtual time: the decisions of membership and claims, with
/// every fault that can happen between the members.
#pragma once

#include "observations.hpp"

#include <cstdint>
#include <vector>

namespace camphorhitch::claims::testing
{

enum class fault_kind
{
    pause,   ///< a process is paused and continues with its old state
    restart, ///< the process is killed; a new process with the same id and address follows
    replace, ///< the host is lost; a new host with another id follows
    leave,   ///< a graceful leave; a new host follows
    store_outage,
    store_loses_answers, ///< answers of the store are lost after the write
    cut_from_peers,
    cut_from_store,
    isolate,     ///< cut off from peers and store; callers still reach the host
    split,       ///< the hosts can't reach the other half, and one half may lose the store
    bad_network, ///< many losses and long delays
    reshuffle    ///< several rosters in a row, each of which removes or adds a healthy member
};

struct fault
{
    fault_kind kind = fault_kind::pause;
    int at_ms = 0;
    int host = 0; ///< index among the processes that run at that time
    int length_ms = 0;
};

struct simulation_options
{
    std::uint64_t seed = 1;
    int members = 3;
    int run_ms = 60000;
    std::vector<fault> faults;
};

/// Counts that show what a run covered.
struct simulation_counts
{
    std::uint64_t steps = 0; ///< events that a process handled
    std::uint64_t epochs = 0;
    std::uint64_t sent = 0;
    std::uint64_t reasons[outcome_reason_names.size()] = {};
};

struct simulation_result
{
    observations observed;
    simulation_counts counts;
};

/// The key_memory of all members of a simulation.
inline constexpr core::millis simulation_key_memory{5000};

simulation_result run_simulation(const simulation_options& options);

} // namespace camphorhitch::claims::testing
