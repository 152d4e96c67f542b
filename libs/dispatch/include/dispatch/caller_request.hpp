/// \file
/// What an entry host makes of a caller's HTTP request.
#pragma once

#include "core/findings.hpp"
#include "dispatch/settings.hpp"
#include "ports/http.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace camphorhitch::dispatch
{

/// Header fields between callers, entry hosts and targets.
namespace fields
{

// From callers.
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view idempotent = "Camphorhitch-Idempotent"; ///< true or false
inline constexpr std::string_view request_class = "Camphorhitch-Class";   ///< quick, normal, long
inline constexpr std::string_view deadline = "Camphorhitch-Deadline-Ms";
inline constexpr std::string_view expected = "Camphorhitch-Expected-Ms"; ///< run time

// From hop to hop; a target that calls on passes them on.
inline constexpr std::string_view time_left = "Camphorhitch-Time-Left-Ms";
inline constexpr std::string_view retry = "Camphorhitch-Retry"; ///< earlier attempts, by anybody

// To callers.
inline constexpr std::string_view outcome = "Camphorhitch-Outcome";
inline constexpr std::string_view reason = "Camphorhitch-Reason";
inline constexpr std::string_view attempt = "Camphorhitch-Attempt";   ///< not-sent
inline constexpr std::string_view replayed = "Camphorhitch-Replayed"; ///< true
inline constexpr std::string_view retry_after = "Retry-After";        ///< whole seconds

} // namespace fields

/// Longest idempotency key that is taken, in characters.
inline constexpr std::size_t longest_key = 200;

struct caller_request
{
    std::string pool;
    ports::request_class klass = ports::request_class::normal;
    std::string key;             ///< claim key, scoped by pool; empty: the request brought none
    std::uint64_t body_hash = 0; ///< of method, path, query and body
    bool idempotent = false;     ///< may be sent again after a send that may have run
    core::millis time_left{0};
    core::millis expected{0};
    int earlier_attempts = 0; ///< by the caller or hops before us
};

/// Reads the fields above. All that is wrong with them is reported together.
std::variant<caller_request, core::findings> read_caller_request(
    const ports::http_request& request, const model::pool_config& pool);

} // namespace camphorhitch::dispatch
