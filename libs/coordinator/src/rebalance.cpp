#include "coordinator/rebalance.hpp"

#include "balances.hpp"
#include "host_division.hpp"
#include "move_choice.hpp"
#include "move_orders.hpp"
#include "retained_hosts.hpp"

namespace camphorhitch::coordinator
{

namespace
{

/// Records what each pool has, wants and should have.
void record_hosts(rebalancer& r,
    const std::map<std::string, balance>& all,
    const std::map<std::string, int>& targets)
{
    r.hosts.clear();
    for (const auto& [name, b] : all)
    {
        r.hosts[name] = {b.wanted, b.floor, b.have, targets.at(name)};
    }
}

void record_needs(rebalancer& r, const std::map<std::string, balance>& all)
{
    r.needs.clear();
    for (const auto& [name, b] : all)
    {
        if (!b.standby)
        {
            r.needs[name] = b.need;
        }
    }
}

/// Logs the need and the hosts of each pool that have changed.
void log_needs(rebalancer& r, const std::map<std::string, balance>& all, task_events& out)
{
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
                    " memory_mb=" + std::to_string(b.need.total.memory_mb) +
                    " gpus=" + std::to_string(b.need.total.gpus) +
                    " bound_by=" + std::string{name_of(resource_kind_names, b.need.bound_by)} +
                    (b.busy_expected ? " expected=1" : "")});
        }
    }
}

/// Logs the hosts that each pool should have, if they or their reasons have changed.
void log_division(rebalancer& r, task_events& out)
{
    const auto rule = core::name_of(allocation_rule_names, r.settings.allocation);
    for (const auto& [name, it] : r.hosts)
    {
        auto& logged = r.logged_divisions[name];
        if (logged != it)
        {
            logged = it;
            out.push_back({"pool_allocation",
                name,
                0,
                "",
                "wanted=" + std::to_string(it.wanted) + " floor=" + std::to_string(it.floor) +
                    " have=" + std::to_string(it.have) + " target=" + std::to_string(it.target) +
                    " rule=" + std::string{rule}});
        }
    }
}

/// Logs once per interval.
void log_hosts(
    rebalancer& r, const std::map<std::string, balance>& all, core::mono_time now, task_events& out)
{
    if (now - r.needs_logged_at < r.settings.need_log_interval)
    {
        return;
    }
    r.needs_logged_at = now;
    log_needs(r, all, out);
    if (r.settings.allocation != allocation_rule::in_order)
    {
        log_division(r, out);
    }
}

/// \return what the pools are filled up to in the order of their names.
std::map<std::string, int> wanted_hosts(const std::map<std::string, balance>& all)
{
    std::map<std::string, int> out;
    for (const auto& [name, b] : all)
    {
        out[name] = b.standby ? b.have : b.wanted;
    }
    return out;
}

/// Chooses hosts for the pools that lack some.
void supply_pools(fleet& f,
    rebalancer& r,
    const demand& d,
    const machine_table& list,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out)
{
    if (r.settings.allocation == allocation_rule::in_order)
    {
        record_hosts(r, all, wanted_hosts(all));
        log_hosts(r, all, now, out);
        fill_short_pools(f, r, all, now, out);
        return;
    }
    keep_scarce_arrivals(r, list, all, now);
    const auto targets = choose_targets(f, r, d, all);
    record_hosts(r, all, targets);
    log_hosts(r, all, now, out);
    move_to_targets(f, r, all, targets, now, out);
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
    update_move_bounds(f, r, now);
    auto all = compute_balances(f, r, d, list, pools, held, now);
    record_needs(r, all);
    release_retained_hosts(r, all, now);
    supply_pools(f, r, d, list, all, now, out);
    if (!is_settling(r, d, now))
    {
        move_surplus_to_standby(f, r, all, now, out);
    }
    abandon_futile_moves(f, r, list, out);
    return order_moves(f, r, now);
}

} // namespace camphorhitch::coordinator
