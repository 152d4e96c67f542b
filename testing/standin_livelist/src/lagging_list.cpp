#include "lagging_list.hpp"

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
        for (auto it = states.rbegin(); it != states.rend(); ++it)
        {
            if (it->since <= then)
            {
                all.push_back(it->host);
                break;
            }
        }
    }
    return all;
}

} // namespace camphorhitch::standin_livelist
