/// \file
/// A small fleet that random numbers drive: deciders with stale views, pauses, lost answers,
/// outages, failures, waves, moves and operators' commands.
#pragma once

#include "fleet_sim/world.hpp"

#include <cstdint>
#include <iosfwd>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::fleet_sim
{

/// One random step: what to do and three choices for it.
struct random_step
{
    std::uint8_t what = 0;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
    std::uint8_t c = 0;
};

std::ostream& operator<<(std::ostream& out, const random_step& s);

struct random_fleet
{
    world w;
    std::vector<std::string> pools{"a", "b", "s"}; ///< s holds the spare hosts
    int commands = 0;
    int waves = 0;
    std::string last_command;
    std::set<std::string> forgotten; ///< hosts that operators struck off

    random_fleet();
    random_fleet(const random_fleet&) = delete;
    random_fleet& operator=(const random_fleet&) = delete;
};

/// Takes one step; the promises are checked in it, see world::violations.
void take(random_fleet& f, const random_step& s);

/// Ends all faults and lets every member run on until nothing is left to do.
void settle(random_fleet& f);

/// \return the hosts and waves that are stuck although nothing is wrong any more; empty when none.
std::string stranded(const random_fleet& f);

} // namespace camphorhitch::fleet_sim
