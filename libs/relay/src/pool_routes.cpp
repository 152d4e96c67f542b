/// \file
/// Chooses the relay that calls a runner.
#include "pool_state.hpp"

namespace camphorhitch::relay
{

/// \return the relay that carries out this order; nullptr: this node does.
relay_entry* pool_state::route(const waiting_order& o)
{
    const auto& to = o.to;
    if (!active || !relays_needed)
    {
        return nullptr;
    }
    const auto avoided = avoided_relays.find(to.id);
    const auto& member = find_route(
        routes, to, avoided == avoided_relays.end() ? std::string_view{} : avoided->second.member);
    const auto found = relays.find(member);
    if (found == relays.end())
    {
        return nullptr;
    }
    const bool accepts = found->second.reads_term_token || fencing_token_of(o.body) == term_token;
    return accepts ? &found->second : nullptr;
}

/// Orders that ended because their relay was lost give no information about its links, so only
/// relays with a working connection are avoided.
void pool_state::avoid_relay(const order_in_flight& it)
{
    const auto r = relays.find(it.member);
    if (r != relays.end() && r->second.state == relay_state::ready)
    {
        avoided_relays[it.runner] = {it.member, clock.elapsed + settings.avoid_time};
        forget_route(routes, it.runner);
    }
}

} // namespace camphorhitch::relay
