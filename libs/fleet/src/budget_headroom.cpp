#include "budget_headroom.hpp"

#include "fleet/budget.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::host_state;
using model::pool_document;

namespace
{

int count_lendable(const wave_inputs& in)
{
    int n = 0;
    for (const auto& view : in.pools)
    {
        const bool spare = is_spare_pool(in.config, view.document.pool);
        for (const auto& it : view.document.hosts)
        {
            n += spare && is_lendable(it, in.waves) ? 1 : 0;
        }
    }
    return n;
}

/// Adds the lendable spare hosts to the pool's budget if the policy borrows hosts, because each
/// borrowed host replaces one absent host.
model::availability_budget with_spares(
    model::availability_budget b, const model::policy_config& p, pool_counts need, int spares)
{
    need.admitted = 1;
    need.unfinished = 1;
    const bool lends = policy_of(p.kind).borrowed_hosts_wanted(p, need) > 0;
    b.absent += lends ? spares : 0;
    return b;
}

} // namespace

budget_headroom::budget_headroom(const wave_inputs& in) : in_(in), spares_(count_lendable(in))
{
}

bool budget_headroom::reserve(const wave_host& h, const model::policy_config& p)
{
    auto& d = projected_pool(h.pool);
    const auto budget = budget_of(in_.config, h.pool);
    const auto need = count_pool(d, in_.config);
    if (!budget || need.planned_absent >= policy_of(p.kind).pool_limit(p, need))
    {
        return false;
    }
    auto* host = model::find_host(d, h.id);
    const auto before = host->state;
    host->state = host_state::draining;
    if (!is_within_budget(count_absences(d), with_spares(*budget, p, need, spares_)))
    {
        host->state = before;
        return false;
    }
    return true;
}

pool_document& budget_headroom::projected_pool(const std::string& pool)
{
    const auto known = projected_.find(pool);
    if (known != projected_.end())
    {
        return known->second;
    }
    const auto it = std::find_if(in_.pools.begin(),
        in_.pools.end(),
        [&](const pool_view& v) { return v.document.pool == pool; });
    return projected_.emplace(pool, it->document).first->second;
}

} // namespace camphorhitch::fleet
