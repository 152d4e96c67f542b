/// \file
/// Settings of camphorhitchd --hosted, read from one JSON file. In this mode the fleet runs on a
/// hosting platform. Members have the names of their keys; docs/operators/hosted.md describes each
/// key.
#pragma once

#include "core/findings.hpp"
#include "core/names.hpp"
#include "core/time.hpp"
#include "ports/telemetry.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::settings
{

/// Addresses at which a node listens, each "ip:port".
struct listen_settings
{
    std::string callers; ///< for callers
    std::string health;  ///< for health checks
    std::string metrics; ///< for metrics; empty: not served
    /// For orders of the coordinator to runners; empty: the node is no relay and uses none.
    std::string relay;
    std::string operators; ///< for statements of operators; empty: not served
};

/// Addresses of the services of the hosting platform, each "ip:port".
struct service_settings
{
    std::string store;    ///< the metadata store
    std::string machines; ///< the machine service
    std::string advice;   ///< the advice service; empty: there is none
};

/// Times that follow from the requirements of the hosting platform.
struct hosted_timing
{
    core::millis runner_lease{2500}; ///< duration of the leases granted to runners
    /// Longest lease that runners accept; the key is longest_runner_lease_ms.
    core::millis max_runner_lease{6000};
    /// A coordinator that does not renew its lease for this time is replaced.
    core::millis leader_lease{1200};
    /// The state of a job is available for this time after its end.
    core::millis keep_finished{150000};
    /// Maximum time from the stop signal to the end of the process, in seconds.
    double stop_bound_s = 6;
    /// Maximum time for which a run still works after its runner accepted a stop. The key is
    /// longest_stop_ms.
    core::millis max_stop_time{1000};
};

/// How workspaces share a pool without capacity for all their jobs.
enum class share_policy
{
    none,     ///< workspaces are not distinguished
    rate,     ///< jobs that a workspace sends beyond its weight per second come last
    dominant, ///< the workspace with the smallest dominant share per weight comes first
    work      ///< shares in resource-time over a window
};

inline constexpr core::name_table<share_policy, 4> share_policy_names{{
    {share_policy::none, "none"},
    {share_policy::rate, "rate"},
    {share_policy::dominant, "dominant"},
    {share_policy::work, "work"},
}};

/// How hosts are divided among pools when there are too few for all.
enum class allocation_policy
{
    in_order, ///< pools in the order of their names
    max_min,  ///< the pool with the smallest satisfied share of its need comes first
    marginal  ///< the pool in which the next host completes most work in time comes first
};

inline constexpr core::name_table<allocation_policy, 3> allocation_policy_names{{
    {allocation_policy::in_order, "in_order"},
    {allocation_policy::max_min, "max_min"},
    {allocation_policy::marginal, "marginal"},
}};

/// The resources in which the need of a pool is counted.
enum class need_policy
{
    cores, ///< cores only
    vector ///< cores, memory and accelerators
};

inline constexpr core::name_table<need_policy, 2> need_policy_names{{
    {need_policy::cores, "cores"},
    {need_policy::vector, "vector"},
}};

/// Which host with sufficient capacity receives a short task, if the fullest one comes first.
enum class packing_policy
{
    cores,    ///< the host with the fewest free cores
    dominant, ///< the host with the highest dominant share
    best_fit  ///< the host whose resources are used most evenly
};

inline constexpr core::name_table<packing_policy, 3> packing_policy_names{{
    {packing_policy::cores, "cores"},
    {packing_policy::dominant, "dominant"},
    {packing_policy::best_fit, "best_fit"},
}};

/// Policies for the distribution of hosts and the placement of tasks. Operators change them to
/// compare policies.
struct hosted_policy
{
    bool moves = true;         ///< hosts are moved to other pools and to the standby pool
    bool in_time_first = true; ///< jobs that can still meet their objective are placed first
    bool fullest_first = true; ///< short tasks are placed on the fullest host that has capacity
    share_policy shares = share_policy::rate;
    /// Window over which the resource-time of `shares` = work is counted.
    core::millis share_window{10000};
    bool shares_by_queue = false; ///< queues are further levels of `shares` = work
    bool shares_by_zone = false;  ///< so are the availability zones of callers
    allocation_policy allocation = allocation_policy::in_order;
    need_policy needs = need_policy::cores;
    packing_policy packing = packing_policy::cores;
    /// The completion forecast determines the order of jobs and the work that counts as need.
    bool forecasts = false;
    /// Nodes reject jobs that cannot be completed in time according to the forecast.
    bool rejects_hopeless = false;
    bool learns_times = true;  ///< measured run times replace declared run times
    bool hands_over = true;    ///< a slowed or overloaded coordinator hands over to another node
    bool repeats_calls = true; ///< orders and polls are sent again when their answers are overdue
    /// An unresponsive store is detected, and no more calls are sent to it.
    bool watches_store = true;
    bool paces = true; ///< best-effort tasks are throttled on hosts where they disturb other tasks

    // Distribution of hosts, as in coordinator::rebalance_settings.

    int spare_hosts = 1; ///< hosts that each pool keeps in addition to its need
    /// A pool short of this many hosts also gets hosts that other pools needed until just now.
    int far_short = 4;
    /// A surplus must last this long before its hosts go to the standby pool.
    core::millis rest{1500};
    /// No host goes to the standby pool for this long after the start, unless a pool was busy. 0:
    /// surplus hosts go at once.
    core::millis settling{20000};
    double release = 8; ///< rate at which the recorded need of a pool declines, hosts per second
    /// Share of the retained hosts of a pool that is released per second in addition, after the
    /// busy period of the pool.
    double release_share = 0.5;
    /// Tasks that keep their progress are stopped when they would hold a host that another pool
    /// lacks for longer than this. 0: never.
    core::millis stops_tasks_above{800};

    // Estimate of the need of a pool, as in coordinator::demand_settings.

    double margin = 1.2;          ///< factor on the computed need
    core::millis horizon{1300};   ///< waiting tasks should be done within about this time
    core::millis foresight{2200}; ///< time for which the trend of arrivals is extrapolated
    double steepest = 1.5; ///< maximum factor by which a trend raises a rate; 1: trends are ignored
    /// Hosts are requested this long before the expected start of a busy period. 0: not in advance.
    core::millis lead{2700};
    double first_share = 0.3; ///< share of the peak of a busy period that is requested at its start
    /// Duration of the early phase of a busy period, in which at least young_share is requested. 0:
    /// no early phase.
    core::millis young{2500};
    double young_share = 0.5; ///< share of the highest peak of any pool
};

/// A policy that applies in place of hosted_settings::policy where a condition is in force.
struct conditional_policy
{
    std::string where; ///< name of the condition
    hosted_policy policy;
};

/// All settings of one node.
struct hosted_settings
{
    std::string member; ///< id of this node
    std::string zone;   ///< availability zone of this node
    listen_settings listen;
    service_settings services;
    hosted_timing timing;
    hosted_policy policy;
    /// Names of the conditions in force at this deployment.
    std::vector<std::string> conditions;
    /// The first entry whose condition is in force replaces `policy`.
    std::vector<conditional_policy> conditional_policies;
    std::string operators_token; ///< token that operators' clients must send
    double processor_share = 1;  ///< number of cores that this node may use
    double link_mbps = 0;        ///< speed of this node's link in Mbit/s; 0: not known
    /// Orders per second that the service of the machines accepts; 0: not known.
    double machine_orders_per_second = 0;
    ports::log_level log_level = ports::log_level::info;
};

/// \return the policy in force.
const hosted_policy& effective_policy(const hosted_settings& s);

/// \param file_name name of the document in findings.
/// \return the settings, or all findings of \p text.
std::variant<hosted_settings, core::findings> read_hosted_settings(
    const std::string& text, const std::string& file_name);

} // namespace camphorhitch::settings
