#include "hosted_policy.hpp"

namespace camphorhitch::daemon
{

namespace
{

coordinator::placement_policy placement_of(const settings::hosted_policy& p)
{
    using coordinator::host_choice;
    using coordinator::job_order;
    coordinator::placement_policy out;
    out.hosts = p.fullest_first ? host_choice::fullest : host_choice::least_used;
    out.jobs = p.in_time_first ? job_order::in_time_first : job_order::first_come;
    out.uses_measured_run_times = p.learns_times;
    return out;
}

void take_demand(const settings::hosted_policy& p, coordinator::demand_settings& to)
{
    to.margin = p.margin;
    to.horizon = p.horizon;
    to.foresight = p.foresight;
    to.steepest = p.steepest;
    to.lead = p.lead;
    to.first_share = p.first_share;
    to.young = p.young;
    to.young_share = p.young_share;
}

void take_moves(const settings::hosted_policy& p, coordinator::rebalance_settings& to)
{
    to.spare_hosts = p.spare_hosts;
    to.far_short = p.far_short;
    to.rest = p.rest;
    to.release = p.release;
    to.release_share = p.release_share;
    to.stops_tasks_above = p.stops_tasks_above;
}

} // namespace

void apply_policy(const settings::hosted_policy& from, hosted::driver_settings& to)
{
    to.moves = from.moves;
    to.hands_over = from.hands_over;
    to.repeats_calls = from.repeats_calls;
    to.sends_paces = from.paces;
    to.rules.placement = placement_of(from);
    take_demand(from, to.demand);
    take_moves(from, to.rebalance);
}

} // namespace camphorhitch::daemon
