/// \file
/// The settings of camphorhitchd, from one JSON file. docs/operators/settings.md tells each key.
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

/// The platform's key-value service.
struct store_settings
{
    std::vector<std::string> addresses; ///< "ip:port", tried in order
    std::string token;                  ///< empty: none is sent
    core::millis timeout{1000};         ///< of one call
    core::millis lease_ttl{6000};       ///< after which a silent member leaves the roster
};

/// The platform's list of live hosts and its workers.
struct platform_settings
{
    std::string live_list;       ///< "ip:port", or empty: there is none
    std::string workers;         ///< "ip:port", or empty: no jobs are run
    std::string token;           ///< empty: none is sent
    core::millis poll{1000};     ///< between two readings of the live list
    core::millis list_lag{5000}; ///< the list is never older than this
};

/// Bounds on what callers and targets may cost this process.
struct limit_settings
{
    std::size_t body_bytes = 1u << 20;   ///< of a request
    std::size_t header_bytes = 16384;    ///< of a request
    std::size_t connections = 2000;      ///< open at once, from callers
    std::size_t open_requests = 1000;    ///< at once, from callers
    std::size_t answer_bytes = 8u << 20; ///< of a target's answer
};

struct timing_settings
{
    core::millis freshness{3000};        ///< after its last confirmation a member acts no more
    core::millis beat_interval{500};     ///< between heartbeats to a peer
    core::millis permit_ttl{1000};       ///< after asking for it a permit lapses unused
    core::millis take_over_margin{1000}; ///< on top of freshness, before others' work is taken over
    core::millis outage_grace{600000};   ///< until a silent majority counts as gone
    core::millis drain_stop{30000};      ///< bound of a graceful stop
};

struct log_settings
{
    ports::log_level level = ports::log_level::info; ///< lower ones are not written
};

struct trace_settings
{
    double sample = 0.01; ///< share of new traces that are recorded, 0 to 1
};

struct daemon_settings
{
    std::string member;           ///< this entry host's id
    std::string zone;             ///< its availability zone
    std::string peer_address;     ///< "ip:port", as peers reach it
    std::string caller_address;   ///< "ip:port" to listen at
    std::string operator_address; ///< "ip:port" to listen at
    std::string operator_token;
    std::string peer_token; ///< that the entry hosts show one another
    store_settings store;
    platform_settings platform;
    limit_settings limits;
    timing_settings timing;
    log_settings log;
    trace_settings trace;
};

/// \param file_name the document's name in findings.
/// \return the settings, or everything that is wrong with \p text, contradictions included.
std::variant<daemon_settings, core::findings> read_daemon_settings(
    const std::string& text, const std::string& file_name);

} // namespace camphorhitch::settings
