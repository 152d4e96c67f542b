/// \file
/// Settings of camphorhitchd, read from one JSON file. Members have the names of their keys;
/// docs/operators/settings.md describes each key.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"
#include "ports/telemetry.hpp"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::settings
{

/// Access to the platform's key-value service.
struct store_settings
{
    std::vector<std::string> addresses; ///< "ip:port", tried in order
    std::string token;                  ///< empty: no token is sent
    core::millis timeout{1000};         ///< timeout of one call
    /// A member that does not renew its lease for this time leaves the roster.
    core::millis lease_ttl{6000};
};

/// Access to the platform's list of live hosts and to its workers.
struct platform_settings
{
    std::string live_list;       ///< "ip:port"; empty: there is no live list
    std::string workers;         ///< "ip:port"; empty: no jobs are run
    std::string token;           ///< empty: no token is sent
    core::millis poll{1000};     ///< interval between two reads of the live list
    core::millis list_lag{5000}; ///< maximum age of the live list
};

/// Limits on the resources that callers and targets may use in this process.
struct limit_settings
{
    std::size_t body_bytes = 1u << 20;   ///< maximum body of a request
    std::size_t header_bytes = 16384;    ///< maximum header of a request
    std::size_t connections = 2000;      ///< maximum number of open connections from callers
    std::size_t open_requests = 1000;    ///< maximum number of concurrent requests of callers
    std::size_t answer_bytes = 8u << 20; ///< maximum answer of a target
};

/// Intervals and time limits of membership, permits and shutdown.
struct timing_settings
{
    /// A member stops acting this long after its last confirmation.
    core::millis freshness{3000};
    core::millis beat_interval{500}; ///< interval between heartbeats to a peer
    core::millis permit_ttl{1000};   ///< an unused permit expires this long after its request
    /// Added to freshness before the work of another member is taken over.
    core::millis take_over_margin{1000};
    /// An unresponsive majority is treated as lost after this time.
    core::millis outage_grace{600000};
    core::millis drain_stop{30000}; ///< maximum duration of a graceful stop
};

/// Settings of the log.
struct log_settings
{
    ports::log_level level = ports::log_level::info; ///< events of lower levels are not written
};

/// Settings of traces.
struct trace_settings
{
    double sample = 0.01; ///< share of new traces that are recorded, between 0 and 1
};

/// All settings of one entry host.
struct daemon_settings
{
    std::string member;           ///< id of this entry host
    std::string zone;             ///< availability zone of this entry host
    std::string peer_address;     ///< "ip:port" at which peers connect
    std::string caller_address;   ///< "ip:port" at which callers connect
    std::string operator_address; ///< "ip:port" at which operators' clients connect
    std::string operator_token;   ///< token that operators' clients must send
    std::string peer_token;       ///< token that entry hosts send to each other
    store_settings store;
    platform_settings platform;
    limit_settings limits;
    timing_settings timing;
    log_settings log;
    trace_settings trace;
};

/// \param file_name name of the document in findings.
/// \return the settings, or all findings of \p text, including contradictions between settings.
std::variant<daemon_settings, core::findings> read_daemon_settings(
    const std::string& text, const std::string& file_name);

} // namespace camphorhitch::settings
