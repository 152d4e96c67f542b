#include "route_table.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace camphorhitch::relay
{

namespace
{

/// Takes the relay if it suits the runner better than the one it has.
void consider(route_table& t,
    route& r,
    const std::string& runner,
    const std::string& zone,
    const std::string& member,
    double share)
{
    const bool same_zone = zone == r.zone;
    if (member == r.avoids || (r.same_zone && !same_zone))
    {
        return;
    }
    ++t.scored;
    const double score = core::weighted_score(runner, member, share);
    if (r.member.empty() || (same_zone && !r.same_zone) || score > r.score)
    {
        r.member = member;
        r.same_zone = same_zone;
        r.score = score;
    }
}

route choose_route(route_table& t, const ports::runner_ref& to, std::string_view avoids)
{
    route out{{}, to.zone, std::string(avoids), false, 0};
    const auto own = t.relays.find(to.zone);
    if (own != t.relays.end())
    {
        for (const auto& [member, share] : own->second)
        {
            consider(t, out, to.id, to.zone, member, share);
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
            consider(t, out, to.id, zone, member, share);
        }
    }
    return out;
}

bool has_relay(const route_table& t, const ports::relay_endpoint& place)
{
    const auto zone = t.relays.find(place.zone);
    if (zone == t.relays.end())
    {
        return false;
    }
    const auto found = zone->second.find(place.member);
    return found != zone->second.end() && found->second == place.cpu_share;
}

} // namespace

void add_relay(route_table& t, const ports::relay_endpoint& place)
{
    if (has_relay(t, place))
    {
        return;
    }
    remove_relay(t, place.member);
    t.relays[place.zone][place.member] = place.cpu_share;
    for (auto& [runner, r] : t.routes)
    {
        consider(t, r, runner, place.zone, place.member, place.cpu_share);
    }
}

void remove_relay(route_table& t, const std::string& member)
{
    const auto zone = std::find_if(t.relays.begin(),
        t.relays.end(),
        [&](const auto& it) { return it.second.contains(member); });
    if (zone == t.relays.end())
    {
        return; // no runner has it
    }
    zone->second.erase(member);
    std::erase_if(t.routes, [&](const auto& it) { return it.second.member == member; });
}

const std::string& find_route(route_table& t, const ports::runner_ref& to, std::string_view avoids)
{
    const auto known = t.routes.find(to.id);
    if (known != t.routes.end())
    {
        return known->second.member;
    }
    return t.routes.emplace(to.id, choose_route(t, to, avoids)).first->second.member;
}

void forget_route(route_table& t, const std::string& runner)
{
    t.routes.erase(runner);
}

} // namespace camphorhitch::relay
