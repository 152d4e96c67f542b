#include "route_table.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace camphorhitch::relay
{

namespace
{

/// Chooses the relay for this runner if it ranks above the runner's present relay.
void update_route(route_table& t,
    route& r,
    const std::string& runner,
    const std::string& zone,
    const std::string& member,
    double share)
{
    const bool same_zone = zone == r.zone;
    if (member == r.avoided_member || (r.same_zone && !same_zone))
    {
        return;
    }
    ++t.comparisons;
    const double score = core::weighted_score(runner, member, share);
    if (r.member.empty() || (same_zone && !r.same_zone) || score > r.score)
    {
        r.member = member;
        r.same_zone = same_zone;
        r.score = score;
    }
}

route choose_route(route_table& t, const ports::runner_ref& to, std::string_view avoided_member)
{
    route out{{}, to.zone, std::string(avoided_member), false, 0};
    const auto own = t.relays.find(to.zone);
    if (own != t.relays.end())
    {
        for (const auto& [member, share] : own->second)
        {
            update_route(t, out, to.id, to.zone, member, share);
        }
    }
    if (!out.member.empty())
    {
        return out;
    }
    for (const auto& [zone, members] : t.relays)
    {
        for (const auto& [member, share] : members)
        {
            update_route(t, out, to.id, zone, member, share);
        }
    }
    return out;
}

bool has_relay(const route_table& t, const ports::relay_endpoint& endpoint)
{
    const auto zone = t.relays.find(endpoint.zone);
    if (zone == t.relays.end())
    {
        return false;
    }
    const auto found = zone->second.find(endpoint.member);
    return found != zone->second.end() && found->second == endpoint.cpu_share;
}

} // namespace

void add_relay(route_table& t, const ports::relay_endpoint& endpoint)
{
    if (has_relay(t, endpoint))
    {
        return;
    }
    remove_relay(t, endpoint.member);
    t.relays[endpoint.zone][endpoint.member] = endpoint.cpu_share;
    for (auto& [runner, r] : t.routes)
    {
        update_route(t, r, runner, endpoint.zone, endpoint.member, endpoint.cpu_share);
    }
}

void remove_relay(route_table& t, const std::string& member)
{
    const auto zone = std::find_if(t.relays.begin(),
        t.relays.end(),
        [&](const auto& it) { return it.second.contains(member); });
    if (zone == t.relays.end())
    {
        return; // no runner uses this relay
    }
    zone->second.erase(member);
    std::erase_if(t.routes, [&](const auto& it) { return it.second.member == member; });
}

const std::string& find_route(
    route_table& t, const ports::runner_ref& to, std::string_view avoided_member)
{
    const auto known = t.routes.find(to.id);
    if (known != t.routes.end())
    {
        return known->second.member;
    }
    return t.routes.emplace(to.id, choose_route(t, to, avoided_member)).first->second.member;
}

void forget_route(route_table& t, const std::string& runner)
{
    t.routes.erase(runner);
}

} // namespace camphorhitch::relay
