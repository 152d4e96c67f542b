/// \file
/// Which relay calls a runner.
#include "pool_state.hpp"

namespace camphorhitch::relay
{

/// \return the relay that calls this runner; nullptr: this node does.
relay_entry* pool_state::route(const ports::runner_ref& to)
{
    if (!active || !needed)
    {
        return nullptr;
    }
    const auto avoids = avoided.find(to.id);
    const auto& member = find_route(
        routes, to, avoids == avoided.end() ? std::string_view{} : avoids->second.member);
    const auto found = relays.find(member);
    return found == relays.end() ? nullptr : &found->second;
}

/// The orders of a relay that was lost say nothing of its links.
void pool_state::avoid(const order_under_way& it)
{
    const auto r = relays.find(it.member);
    if (r != relays.end() && r->second.state == relay_state::well)
    {
        avoided[it.runner] = {it.member, clock.elapsed + settings.avoid};
        forget_route(routes, it.runner);
    }
}

} // namespace camphorhitch::relay
