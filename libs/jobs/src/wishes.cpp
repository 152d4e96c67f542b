#include "wishes.hpp"

namespace camphorhitch::jobs
{

namespace
{

/// Time between two wishes of one team: a used-up quota isn't asked for in every round.
constexpr core::millis wish_interval{5000};

/// The same while a team wants more than it did: an urgent job must not wait for the next regular
/// wish.
constexpr core::millis growing_interval{200};

/// A grant larger than this share of what is wanted is partly given back.
constexpr double idle_factor = 1.5;

bool is_due(const team_view& t, const team_grant& g, core::mono_time now)
{
    if (!g.sent_at)
    {
        return !t.wanted.empty();
    }
    const auto since = now - *g.sent_at;
    if (g.pending)
    {
        return since >= wish_interval; // no end is known
    }
    const bool lacks = !fits(t.wanted, g.granted);
    const bool grows = !fits(t.wanted, g.wanted_when_sent);
    const amounts enough{t.wanted.processors * idle_factor,
        t.wanted.memory_gb * idle_factor,
        t.wanted.accelerators * 2};
    const bool idles = !fits(g.granted, enough);
    return (lacks && grows && since >= growing_interval) ||
           ((lacks || idles) && since >= wish_interval);
}

} // namespace

void wish_for_quota(round_state& r)
{
    for (std::size_t i = 0; i < r.teams.size(); ++i)
    {
        const std::string& name = r.all.team_numbers.names[i];
        const team_view& t = r.teams[i];
        team_grant& g = r.all.teams[name];
        if (!is_due(t, g, r.in.now))
        {
            continue;
        }
        g.pending = true;
        g.used_when_sent = t.in_use;
        g.wanted_when_sent = t.wanted;
        g.sent_at = r.in.now;
        r.actions.emplace_back(quota_wish{name, r.all.pool, r.all.mark, t.in_use, t.wanted});
    }
}

} // namespace camphorhitch::jobs
