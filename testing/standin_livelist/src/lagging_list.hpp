/// \file
/// The list of hosts as of an earlier time, which is what readers see. Callers pass the time.
#pragma once

#include "core/time.hpp"
#include "ports/platform.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::standin_livelist
{

/// A host's state and the time from which it applies.
struct dated_state
{
    core::mono_time since;
    ports::live_host host;
};

/// The history of all hosts' states.
struct lagging_list
{
    /// States of each host in the order of time, by host.
    std::map<std::string, std::vector<dated_state>> hosts;
};

/// Records a host's new state.
void set_state(lagging_list& l, ports::live_host host, core::mono_time now);

/// \return the states of the hosts at the time \p then, without hosts that were added later.
std::vector<ports::live_host> read(const lagging_list& l, core::mono_time then);

} // namespace camphorhitch::standin_livelist
