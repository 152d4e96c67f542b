/// \file
/// Which relay calls a runner.
#include "core/rendezvous.hpp"
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
    const auto known = routes.find(to.id);
    if (known != routes.end())
    {
        return known->second;
    }
    auto* best = best_of(to, true);
    best = best != nullptr ? best : best_of(to, false);
    routes.emplace(to.id, best);
    return best;
}

/// By weighted rendezvous hashing: a runner keeps its relay while that is well, and a relay that is
/// lost moves only its own runners.
relay_entry* pool_state::best_of(const ports::runner_ref& to, bool same_zone)
{
    const auto avoids = avoided.find(to.id);
    relay_entry* best = nullptr;
    double best_score = 0;
    for (auto& [member, r] : relays)
    {
        const bool fits = !same_zone || r.place.zone == to.zone;
        const bool silent = avoids != avoided.end() && avoids->second.member == member;
        if (r.state != relay_state::well || r.leaving || !fits || silent)
        {
            continue;
        }
        const double score = core::weighted_score(to.id, member, r.place.share);
        if (best == nullptr || score > best_score)
        {
            best = &r;
            best_score = score;
        }
    }
    return best;
}

/// The orders of a relay that was lost say nothing of its links.
void pool_state::avoid(const order_under_way& it)
{
    const auto r = relays.find(it.member);
    if (r != relays.end() && r->second.state == relay_state::well)
    {
        avoided[it.runner] = {it.member, clock.elapsed + settings.avoid};
        routes.erase(it.runner);
    }
}

} // namespace camphorhitch::relay
