#include "coordinator/rebalance.hpp"

#include "balances.hpp"
#include "move_choice.hpp"
#include "move_orders.hpp"
#include "retained_hosts.hpp"

namespace camphorhitch::coordinator
{

namespace
{

/// Logs the need and the hosts of each pool that have changed, once per interval.
void log_needs(
    rebalancer& r, const std::map<std::string, balance>& all, core::mono_time now, task_events& out)
{
    if (now - r.needs_logged_at < r.settings.need_log_interval)
    {
        return;
    }
    r.needs_logged_at = now;
    for (const auto& [name, b] : all)
    {
        auto& logged = r.logged_needs[name];
        const std::pair present{b.wanted, b.have};
        if (!b.standby && logged != present)
        {
            logged = present;
            out.push_back({"pool_need",
                name,
                0,
                "",
                "wanted=" + std::to_string(b.wanted) + " have=" + std::to_string(b.have) +
                    " retained=" + std::to_string(b.retained) +
                    " cores=" + std::to_string(static_cast<int>(b.cores)) +
                    (b.busy_expected ? " expected=1" : "")});
        }
    }
}

/// \return whether nothing is known of the demand yet, so that the pools keep their hosts.
bool is_settling(rebalancer& r, const demand& d, core::mono_time now)
{
    const auto since = r.first_planned_at ? *r.first_planned_at : now;
    r.first_planned_at = since;
    return d.history.empty() && now - since < r.settings.settling_time;
}

} // namespace

std::vector<move_action> plan_moves(fleet& f,
    rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now,
    task_events& out)
{
    if (!list.known)
    {
        return {};
    }
    reopen_busy_hosts(f, r, now);
    auto all = compute_balances(f, r, d, list, pools, held, now);
    release_retained_hosts(r, all, now);
    log_needs(r, all, now, out);
    fill_short_pools(f, r, all, now, out);
    if (!is_settling(r, d, now))
    {
        move_surplus_to_standby(f, r, all, now, out);
    }
    abandon_futile_moves(f, r, list, out);
    return order_moves(f, r, now);
}

} // namespace camphorhitch::coordinator
