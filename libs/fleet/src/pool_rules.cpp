#include "fleet/pool_rules.hpp"

#include "core/invariant.hpp"
#include "rule_support.hpp"

#include <algorithm>
#include <string_view>

namespace camphorhitch::fleet
{

namespace
{

/// \return whether \p e starts a planned absence, after which the budgets must hold.
bool starts_planned_absence(const pool_event& e)
{
    return std::holds_alternative<drain_request>(e) || std::holds_alternative<leave_request>(e) ||
           std::holds_alternative<move_request>(e) || std::holds_alternative<start_drain>(e) ||
           std::holds_alternative<reassign_borrowed_host>(e);
}

bool is_each_host_once(const model::pool_document& d)
{
    std::vector<std::string_view> ids;
    ids.reserve(d.hosts.size());
    for (const auto& it : d.hosts)
    {
        ids.emplace_back(it.id);
    }
    std::sort(ids.begin(), ids.end());
    return std::adjacent_find(ids.begin(), ids.end()) == ids.end();
}

bool no_host_kept_and_released(const model::pool_document& d)
{
    return std::none_of(d.released.begin(),
        d.released.end(),
        [&](const model::released_host& it)
        {
            const auto* kept = model::find_host(d, it.host.id);
            return kept != nullptr && is_member(*kept) && kept->ownership <= it.host.ownership;
        });
}

void check(const model::pool_document& d, const pool_event& e, const rule_context& c)
{
    core::require(is_each_host_once(d), "a host stands once in a pool document", d.pool);
    core::require(no_host_kept_and_released(d), "a released host belongs to its new pool", d.pool);
    const auto budget = budget_of(c.config, d.pool);
    if (budget && starts_planned_absence(e))
    {
        core::require(is_within_budget(count_absences(d), *budget),
            "a planned absence keeps the budget",
            describe_absences(d, budget));
    }
}

} // namespace

core::result<effect> apply(model::pool_document& d, const pool_event& e, const rule_context& c)
{
    const auto one = [&](const auto& it)
    {
        return apply_one(d, it, c);
    };
    auto out = std::visit(one, e);
    if (core::is_ok(out) && core::value(out).changed)
    {
        check(d, e, c);
    }
    return out;
}

core::result<pool_change> change(const model::pool_document& d,
    const pool_event& e,
    const model::configuration& config,
    core::wall_time now)
{
    pool_change out{d, {}};
    const auto what = apply(out.next, e, rule_context{config, now});
    if (!core::is_ok(what))
    {
        return core::failure(what);
    }
    out.outcome = core::value(what);
    return out;
}

} // namespace camphorhitch::fleet
