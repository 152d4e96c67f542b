#include "hosted_policy.hpp"

namespace camphorhitch::daemon
{

namespace
{

coordinator::share_rule make_share_rule(settings::share_policy p)
{
    using coordinator::share_rule;
    switch (p)
    {
    case settings::share_policy::none:
        return share_rule::none;
    case settings::share_policy::dominant:
        return share_rule::dominant;
    case settings::share_policy::work:
        return share_rule::work;
    case settings::share_policy::rate:
        break;
    }
    return share_rule::rate;
}

coordinator::allocation_rule make_allocation_rule(settings::allocation_policy p)
{
    using coordinator::allocation_rule;
    switch (p)
    {
    case settings::allocation_policy::max_min:
        return allocation_rule::max_min;
    case settings::allocation_policy::marginal:
        return allocation_rule::marginal;
    case settings::allocation_policy::in_order:
        break;
    }
    return allocation_rule::in_order;
}

coordinator::packing_rule make_packing_rule(settings::packing_policy p)
{
    using coordinator::packing_rule;
    switch (p)
    {
    case settings::packing_policy::dominant:
        return packing_rule::dominant;
    case settings::packing_policy::best_fit:
        return packing_rule::best_fit;
    case settings::packing_policy::cores:
        break;
    }
    return packing_rule::cores;
}

coordinator::placement_policy make_placement_policy(const settings::hosted_policy& p)
{
    using coordinator::host_choice;
    using coordinator::job_order;
    coordinator::placement_policy out;
    out.hosts = p.fullest_first ? host_choice::fullest : host_choice::least_used;
    out.jobs = p.in_time_first ? job_order::in_time_first : job_order::first_come;
    out.packing = make_packing_rule(p.packing);
    out.forecasts = p.forecasts;
    out.shares = make_share_rule(p.shares);
    out.share = {p.share_window, p.shares_by_queue, p.shares_by_zone};
    out.uses_measured_run_times = p.learns_times;
    return out;
}

void apply_demand(const settings::hosted_policy& p, coordinator::demand_settings& to)
{
    to.needs = p.needs == settings::need_policy::vector ? coordinator::need_rule::vector
                                                        : coordinator::need_rule::cores;
    to.discounts_late_work = p.forecasts;
    to.margin = p.margin;
    to.horizon = p.horizon;
    to.trend_lookahead = p.foresight;
    to.max_trend_factor = p.steepest;
    to.busy_lead_time = p.lead;
    to.initial_share = p.first_share;
    to.early_phase = p.young;
    to.early_phase_share = p.young_share;
}

void apply_rebalance(const settings::hosted_policy& p, coordinator::rebalance_settings& to)
{
    to.allocation = make_allocation_rule(p.allocation);
    to.spare_hosts = p.spare_hosts;
    to.urgent_shortage = p.far_short;
    to.standby_delay = p.rest;
    to.settling_time = p.settling;
    to.release_rate = p.release;
    to.release_share = p.release_share;
    to.task_stop_threshold = p.stops_tasks_above;
}

} // namespace

void apply_policy(const settings::hosted_policy& from, hosted::driver_settings& to)
{
    to.moves_machines = from.moves;
    to.hands_over_when_behind = from.hands_over;
    to.repeats_overdue_calls = from.repeats_calls;
    to.throttles_best_effort = from.paces;
    to.publishes_forecast = from.rejects_hopeless;
    to.rules.placement = make_placement_policy(from);
    apply_demand(from, to.demand);
    apply_rebalance(from, to.rebalance);
}

} // namespace camphorhitch::daemon
