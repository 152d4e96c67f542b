/// \file
/// Settings of a load: its mix, rate and bounds.
#pragma once

#include "core/findings.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::load
{

/// One kind of request in the mix.
struct request_kind
{
    std::string name; ///< quick, normal or long: the request's class
    double weight = 0;
    int delay_ms = 0; ///< service time requested from the target
};

/// All settings of a load.
struct plan
{
    std::vector<std::string> entries;  ///< "ip:port" of entry hosts, or of targets if direct
    std::vector<std::string> services; ///< services that the requests use in turn
    std::vector<request_kind> kinds{{"quick", 80, 5}, {"normal", 15, 20}, {"long", 5, 200}};
    double keyed = 0.2; ///< share of requests with an idempotency key (POST)
    double rate = 100;  ///< requests per second of all threads together
    double seconds = 5;
    int threads = 16;
    int max_repeats = 4; ///< maximum number of repeats of a request
    int repeat_delay_ms = 100;
    int timeout_ms = 15000; ///< time limit of one call
    /// Prefix of request ids; runs against the same targets need different prefixes.
    std::string id_prefix = "r";
    bool direct = false; ///< whether callers call targets directly, for comparison
    std::uint64_t seed = 1;
    std::string record;    ///< file for one JSON line per call, or empty
    std::string stop_file; ///< the load ends early when this file exists, or empty
};

/// A plan, a help text to print, or the findings.
using parsed_plan = std::variant<plan, std::string, core::findings>;

/// Parses the command line.
parsed_plan read_plan(int argc, char** argv);

} // namespace camphorhitch::load
