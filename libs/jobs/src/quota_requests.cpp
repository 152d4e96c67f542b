#include "quota_requests.hpp"

namespace camphorhitch::jobs
{

namespace
{

/// Time between two requests of one team, so that a used-up quota is not requested in every round.
constexpr core::millis request_interval{5000};

/// The same while a team wants more than in its last request: an urgent job must not wait for the
/// next regular request.
constexpr core::millis growing_request_interval{200};

/// A grant larger than the wanted resources times this factor is partly returned.
constexpr double idle_factor = 1.5;

bool is_due(const team_usage& t, const team_grant& g, core::mono_time now)
{
    if (!g.sent_at)
    {
        return !t.wanted.empty();
    }
    const auto since = now - *g.sent_at;
    if (g.pending)
    {
        return since >= request_interval; // the result of the request is not available
    }
    const bool is_short = !fits(t.wanted, g.granted);
    const bool is_growing = !fits(t.wanted, g.wanted_when_sent);
    const resources enough{t.wanted.processors * idle_factor,
        t.wanted.memory_gb * idle_factor,
        t.wanted.accelerators * 2};
    const bool is_idle = !fits(g.granted, enough);
    return (is_short && is_growing && since >= growing_request_interval) ||
           ((is_short || is_idle) && since >= request_interval);
}

} // namespace

void request_quotas(round_state& r)
{
    for (std::size_t i = 0; i < r.teams.size(); ++i)
    {
        const std::string& name = r.all.team_names.names[i];
        const team_usage& t = r.teams[i];
        team_grant& g = r.all.teams[name];
        if (!is_due(t, g, r.in.now))
        {
            continue;
        }
        g.pending = true;
        g.used_when_sent = t.in_use;
        g.wanted_when_sent = t.wanted;
        g.sent_at = r.in.now;
        r.actions.emplace_back(quota_request{name, r.all.pool, r.all.token, t.in_use, t.wanted});
    }
}

} // namespace camphorhitch::jobs
