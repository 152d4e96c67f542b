/// \file
/// The list of hosts as readers see it: as it was a while ago. Time is passed in.
#pragma once

#include "core/time.hpp"
#include "ports/platform.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::standin_livelist
{

struct dated_state
{
    core::mono_time since;
    ports::live_host host;
};

struct lagging_list
{
    std::map<std::string, std::vector<dated_state>> hosts; ///< states in order of time
};

void set_state(lagging_list& l, ports::live_host host, core::mono_time now);

/// \return the hosts as they were at \p then; a host that came later isn't among them.
std::vector<ports::live_host> read(const lagging_list& l, core::mono_time then);

} // namespace camphorhitch::standin_livelist
