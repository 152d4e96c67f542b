/// \file
/// The settings of camphorhitchd --hosted, from one JSON file: a node whose fleet lives on a
/// hosting platform. docs/operators/hosted.md tells each key.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"
#include "ports/telemetry.hpp"

#include <string>
#include <variant>

namespace camphorhitch::settings
{

/// Where a node listens, each "ip:port".
struct listen_settings
{
    std::string callers;
    std::string health;
    std::string metrics; ///< empty: not served
    std::string relay; ///< for the coordinator's orders to runners; empty: no relay, and none used
    std::string operators; ///< for statements of the operators' language; empty: not served
};

/// Where the hosting platform's services are, each "ip:port".
struct service_settings
{
    std::string store;
    std::string machines;
    std::string advice; ///< empty: there is none
};

/// Bounds that the hosting platform sets.
struct hosted_timing
{
    core::millis runner_lease{2500};         ///< granted to runners
    core::millis longest_runner_lease{6000}; ///< that runners accept
    core::millis leader_lease{1200};         ///< after which a silent coordinator is replaced
    core::millis keep_finished{150000};      ///< a job's state is told so long after its end
    double stop_bound_s = 6;                 ///< from the signal to the end of the process, seconds
};

/// How hosts follow demand and tasks are placed, for operators who compare policies.
struct hosted_policy
{
    bool moves = true;         ///< hosts go to other pools, or to the standby pool
    bool in_time_first = true; ///< jobs that can still meet their objective go first
    bool fullest_first = true; ///< short tasks fill one host after the other
    bool learns_times = true;  ///< run times that were seen replace declared ones
    bool hands_over = true;    ///< a coordinator that is slowed or overloaded hands over
    bool repeats_calls = true; ///< orders and polls whose answers are overdue are sent again
    bool watches_store = true; ///< a silent store is noticed, and nothing more is sent to it
    bool paces = true;         ///< tasks that fill are slowed where others are disturbed
    int spare_hosts = 1;       ///< that each pool keeps beyond its need
    int far_short = 4;       ///< a pool that lacks so many takes hosts that others let go just now
    core::millis rest{1500}; ///< a surplus is switched off after so long
    double release = 8;      ///< hosts a second that a pool's need is let go at
    double release_share = 0.5;          ///< of a pool's hosts a second on top, after its busy time
    core::millis stops_tasks_above{800}; ///< as coordinator::rebalance_settings; 0: never
    double margin = 1.2;                 ///< room above the computed need
    core::millis horizon{1300};          ///< in which waiting tasks should be done
    core::millis foresight{2200};        ///< that the trend of arrivals is followed ahead
    double steepest = 1.5;               ///< most that a trend raises a rate; 1: no trend
    core::millis lead{2700};             ///< a busy time is expected so long ahead; 0: none is
    double first_share = 0.3;            ///< of a busy time's peak, that its begin asks for
    core::millis young{2500};            ///< for so long a busy time asks for young_share; 0: never
    double young_share = 0.5;            ///< of the highest peak of any pool
};

struct hosted_settings
{
    std::string member;
    std::string zone;
    listen_settings listen;
    service_settings services;
    hosted_timing timing;
    hosted_policy policy;
    std::string operators_token; ///< that operators' clients must send
    double processor_share = 1;  ///< of a core, that this node may use
    ports::log_level log_level = ports::log_level::info;
};

/// \param file_name for the findings
/// \return the settings, or everything that is wrong with them.
std::variant<hosted_settings, core::findings> read_hosted_settings(
    const std::string& text, const std::string& file_name);

} // namespace camphorhitch::settings
