/// \file
/// What a load sends: its mix, rate and bounds.
#pragma once

#include "core/findings.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::load
{

/// One kind of request in the mix.
struct kind
{
    std::string name; ///< quick, normal or long: the request's class
    double weight = 0;
    int delay_ms = 0; ///< service time asked of the target
};

struct plan
{
    std::vector<std::string> entries;  ///< "ip:port" of entry hosts, or of targets with direct
    std::vector<std::string> services; ///< chosen evenly
    std::vector<kind> kinds{{"quick", 80, 5}, {"normal", 15, 20}, {"long", 5, 200}};
    double keyed = 0.2; ///< share of requests with an idempotency key (POST)
    double rate = 100;  ///< requests per second of all threads together
    double seconds = 5;
    int threads = 16;
    int most_repeats = 4; ///< repeats of one request
    int repeat_pause_ms = 100;
    int timeout_ms = 15000; ///< of one call
    std::string id_prefix =
        "r";             ///< of request ids; runs against the same targets need different ones
    bool direct = false; ///< straight to targets, for comparison
    std::uint64_t seed = 1;
    std::string record;    ///< file for one JSON line a call, or empty
    std::string stop_file; ///< the load ends early when this file exists, or empty
};

using parsed_plan = std::variant<plan, std::string, core::findings>;

/// Reads the command line; a string is a text to print (help).
parsed_plan read_plan(int argc, char** argv);

} // namespace camphorhitch::load
