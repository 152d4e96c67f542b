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

struct hosted_settings
{
    std::string member;
    std::string zone;
    listen_settings listen;
    service_settings services;
    hosted_timing timing;
    std::string operators_token; ///< that operators' clients must send
    double processor_share = 1;  ///< of a core, that this node may use
    ports::log_level log_level = ports::log_level::info;
};

/// \param file_name for the findings
/// \return the settings, or everything that is wrong with them.
std::variant<hosted_settings, core::findings> read_hosted_settings(
    const std::string& text, const std::string& file_name);

} // namespace camphorhitch::settings
