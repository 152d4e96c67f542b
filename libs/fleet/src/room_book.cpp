#include "room_book.hpp"

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

/// A guest that can be had stands in for one of the pool's absences.
model::availability_budget with_spares(
    model::availability_budget b, const model::policy_config& p, pool_need need, int spares)
{
    need.admitted = 1;
    need.unfinished = 1;
    const bool lends = policy_of(p.kind).guests_wanted(p, need) > 0;
    b.absent += lends ? spares : 0;
    return b;
}

} // namespace

room_book::room_book(const wave_inputs& in) : in_(in), spares_(count_lendable(in))
{
}

bool room_book::take(const wave_host& h, const model::policy_config& p)
{
    auto& d = draft_of(h.pool);
    const auto budget = budget_of(in_.config, h.pool);
    const auto need = need_of(d, in_.config);
    if (!budget || need.planned_absent >= policy_of(p.kind).pool_limit(p, need))
    {
        return false;
    }
    auto* host = model::find_host(d, h.id);
    const auto before = host->state;
    host->state = host_state::draining;
    if (!within(count_absences(d), with_spares(*budget, p, need, spares_)))
    {
        host->state = before;
        return false;
    }
    return true;
}

pool_document& room_book::draft_of(const std::string& pool)
{
    const auto known = drafts_.find(pool);
    if (known != drafts_.end())
    {
        return known->second;
    }
    const auto it = std::find_if(in_.pools.begin(),
        in_.pools.end(),
        [&](const pool_view& v) { return v.document.pool == pool; });
    return drafts_.emplace(pool, it->document).first->second;
}

} // namespace camphorhitch::fleet
