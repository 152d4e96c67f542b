#include "lagging_list.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::standin_livelist
{

void set_state(lagging_list& l, ports::live_host host, core::mono_time now)
{
    auto& states = l.hosts[host.id];
    states.push_back({now, std::move(host)});
}

std::vector<ports::live_host> read(const lagging_list& l, core::mono_time then)
{
    std::vector<ports::live_host> all;
    for (const auto& [id, states] : l.hosts)
    {
        const auto has_started = [then](const dated_state& it)
        {
            return it.since <= then;
        };
        const auto newest = std::find_if(states.rbegin(), states.rend(), has_started);
        if (newest != states.rend())
        {
            all.push_back(newest->host);
        }
    }
    return all;
}

} // namespace camphorhitch::standin_livelist
