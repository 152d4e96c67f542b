/// \file
/// A small fleet driven by random steps: members with stale views, pauses, lost answers, outages,
/// host failures, waves, moves and operators' commands.
#pragma once

#include "fleet_sim/simulation.hpp"

#include <cstdint>
#include <iosfwd>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::fleet_sim
{

/// One random step: its kind and three random parameters.
struct random_step
{
    std::uint8_t what = 0;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
    std::uint8_t c = 0;
};

std::ostream& operator<<(std::ostream& out, const random_step& s);

/// The simulation and the state of its operators.
struct random_fleet
{
    simulation sim;
    std::vector<std::string> pools{"a", "b", "s"}; ///< s holds the spare hosts
    int commands = 0;
    int waves = 0;
    std::string last_command;
    std::set<std::string> removed_hosts; ///< hosts that operators asked to remove from the fleet

    random_fleet();
    random_fleet(const random_fleet&) = delete;
    random_fleet& operator=(const random_fleet&) = delete;
};

/// Applies one step. The promises are checked meanwhile; see simulation::violations.
void apply_step(random_fleet& f, const random_step& s);

/// Ends all faults and runs all members until no host or wave is stuck, for a bounded number of
/// rounds.
void run_until_settled(random_fleet& f);

/// \return the hosts and waves that have not reached their normal state; empty when there are none.
std::string find_stuck(const random_fleet& f);

} // namespace camphorhitch::fleet_sim
