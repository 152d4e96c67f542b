#include "checked_json/record.hpp"
#include "settings/hosted_settings.hpp"

#include <algorithm>

namespace camphorhitch::settings
{

namespace
{

using checked_json::check_address;
using checked_json::check_address_or_empty;
using checked_json::check_name;
using checked_json::millis_range;
using core::millis;

constexpr checked_json::parse_limits settings_bounds{1u << 18, 16, 1u << 14};
constexpr millis_range lease_range{millis{1000}, millis{600000}};
constexpr millis_range retention_range{millis{10000}, millis{86400000}};
constexpr checked_json::real_range stop_range{0.1, 600};
constexpr checked_json::real_range share_range{0.001, 1024};
constexpr checked_json::int_range hosts_range{0, 10000};
constexpr checked_json::real_range release_rate_range{0.01, 10000};
constexpr checked_json::real_range link_range{0, 1e6};
constexpr checked_json::real_range order_rate_range{0, 100000};
constexpr checked_json::real_range fraction_range{0, 1};
constexpr checked_json::real_range factor_range{1, 10};
constexpr millis_range delay_range{millis{0}, millis{600000}};
constexpr millis_range horizon_range{millis{1}, millis{600000}};
constexpr millis_range window_range{millis{100}, millis{600000}};

} // namespace

template <class Keys>
void describe(Keys& keys, listen_settings& r)
{
    keys.required("callers", r.callers, check_address)
        .required("health", r.health, check_address)
        .defaulted("metrics", r.metrics, check_address_or_empty)
        .defaulted("relay", r.relay, check_address_or_empty)
        .defaulted("operators", r.operators, check_address_or_empty);
}

template <class Keys>
void describe(Keys& keys, service_settings& r)
{
    keys.required("store", r.store, check_address)
        .required("machines", r.machines, check_address)
        .defaulted("advice", r.advice, check_address_or_empty);
}

template <class Keys>
void describe(Keys& keys, hosted_timing& r)
{
    keys.defaulted("runner_lease_ms", r.runner_lease, lease_range)
        .defaulted("longest_runner_lease_ms", r.max_runner_lease, lease_range)
        .defaulted("leader_lease_ms", r.leader_lease, lease_range)
        .defaulted("keep_finished_ms", r.keep_finished, retention_range)
        .defaulted("stop_bound_s", r.stop_bound_s, stop_range)
        .defaulted("longest_stop_ms", r.max_stop_time, delay_range);
}

template <class Keys>
void describe(Keys& keys, hosted_policy& r)
{
    keys.defaulted("moves", r.moves)
        .defaulted("in_time_first", r.in_time_first)
        .defaulted("fullest_first", r.fullest_first)
        .defaulted("shares", r.shares, share_policy_names)
        .defaulted("share_window_ms", r.share_window, window_range)
        .defaulted("shares_by_queue", r.shares_by_queue)
        .defaulted("shares_by_zone", r.shares_by_zone)
        .defaulted("allocation", r.allocation, allocation_policy_names)
        .defaulted("needs", r.needs, need_policy_names)
        .defaulted("packing", r.packing, packing_policy_names)
        .defaulted("forecasts", r.forecasts)
        .defaulted("rejects_hopeless", r.rejects_hopeless)
        .defaulted("learns_times", r.learns_times)
        .defaulted("hands_over", r.hands_over)
        .defaulted("repeats_calls", r.repeats_calls)
        .defaulted("watches_store", r.watches_store)
        .defaulted("paces", r.paces)
        .defaulted("spare_hosts", r.spare_hosts, hosts_range)
        .defaulted("far_short", r.far_short, hosts_range)
        .defaulted("rest_ms", r.rest, delay_range)
        .defaulted("settling_ms", r.settling, delay_range)
        .defaulted("release", r.release, release_rate_range)
        .defaulted("release_share", r.release_share, fraction_range)
        .defaulted("stops_tasks_above_ms", r.stops_tasks_above, delay_range)
        .defaulted("margin", r.margin, factor_range)
        .defaulted("horizon_ms", r.horizon, horizon_range)
        .defaulted("foresight_ms", r.foresight, delay_range)
        .defaulted("steepest", r.steepest, factor_range)
        .defaulted("lead_ms", r.lead, delay_range)
        .defaulted("first_share", r.first_share, fraction_range)
        .defaulted("young_ms", r.young, delay_range)
        .defaulted("young_share", r.young_share, fraction_range);
}

template <class Keys>
void describe(Keys& keys, conditional_policy& r)
{
    keys.required("where", r.where, check_name).required("policy", r.policy);
}

template <class Keys>
void describe(Keys& keys, hosted_settings& r)
{
    keys.required("member", r.member, check_name)
        .required("zone", r.zone, check_name)
        .required("listen", r.listen)
        .required("services", r.services)
        .defaulted("timing", r.timing)
        .defaulted("policy", r.policy)
        .optional("conditions", r.conditions)
        .optional("conditional_policies", r.conditional_policies)
        .defaulted("operators_token", r.operators_token)
        .defaulted("processor_share", r.processor_share, share_range)
        .defaulted("link_mbps", r.link_mbps, link_range)
        .defaulted("machine_orders_per_second", r.machine_orders_per_second, order_rate_range)
        .defaulted("log_level", r.log_level, ports::log_level_names);
}

namespace
{

void check_leases(const hosted_settings& s, const std::string& file, core::findings& found)
{
    if (s.timing.runner_lease > s.timing.max_runner_lease)
    {
        found.push_back({{file, "/timing/runner_lease_ms", 0, 0},
            "is longer than longest_runner_lease_ms, the longest lease that runners accept",
            {}});
    }
    if (s.timing.leader_lease >= s.timing.runner_lease)
    {
        found.push_back({{file, "/timing/leader_lease_ms", 0, 0},
            "must be shorter than runner_lease_ms, or a successor cannot renew the leases in time",
            {}});
    }
}

void check_operators(const hosted_settings& s, const std::string& file, core::findings& found)
{
    if (!s.listen.operators.empty() && s.operators_token.empty())
    {
        found.push_back({{file, "/operators_token", 0, 0},
            "is missing: listen.operators is not served without a token",
            {}});
    }
}

void check_policy(const hosted_policy& p,
    const std::string& where,
    const std::string& file,
    core::findings& found)
{
    if (p.rejects_hopeless && !p.forecasts)
    {
        found.push_back({{file, where + "/rejects_hopeless", 0, 0},
            "needs forecasts: true, by which nodes determine which jobs are hopeless",
            {}});
    }
}

void check_policies(const hosted_settings& s, const std::string& file, core::findings& found)
{
    check_policy(s.policy, "/policy", file, found);
    for (std::size_t i = 0; i < s.conditional_policies.size(); ++i)
    {
        check_policy(s.conditional_policies[i].policy,
            "/conditional_policies/" + std::to_string(i) + "/policy",
            file,
            found);
    }
}

} // namespace

const hosted_policy& effective_policy(const hosted_settings& s)
{
    for (const auto& it : s.conditional_policies)
    {
        if (std::find(s.conditions.begin(), s.conditions.end(), it.where) != s.conditions.end())
        {
            return it.policy;
        }
    }
    return s.policy;
}

std::variant<hosted_settings, core::findings> read_hosted_settings(
    const std::string& text, const std::string& file_name)
{
    auto read = checked_json::decode<hosted_settings>(
        text, file_name, checked_json::strictness::strict, settings_bounds);
    if (const auto* const s = std::get_if<hosted_settings>(&read))
    {
        core::findings found;
        check_leases(*s, file_name, found);
        check_operators(*s, file_name, found);
        check_policies(*s, file_name, found);
        if (!found.empty())
        {
            return found;
        }
    }
    return read;
}

} // namespace camphorhitch::settings
