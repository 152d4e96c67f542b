/// \file
/// Reads the properties of a caller's HTTP request at its entry host.
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
inline constexpr std::string_view deadline = "Camphorhitch-Deadline-Ms";  ///< time allowed, in ms
inline constexpr std::string_view expected = "Camphorhitch-Expected-Ms";  ///< run time, in ms

// From hop to hop. A target that makes further calls passes these fields on.
inline constexpr std::string_view time_left = "Camphorhitch-Time-Left-Ms"; ///< in ms
inline constexpr std::string_view retry = "Camphorhitch-Retry"; ///< number of earlier attempts

// To callers.
inline constexpr std::string_view outcome = "Camphorhitch-Outcome";
inline constexpr std::string_view reason = "Camphorhitch-Reason";
inline constexpr std::string_view attempt = "Camphorhitch-Attempt";   ///< not-sent
inline constexpr std::string_view replayed = "Camphorhitch-Replayed"; ///< true
inline constexpr std::string_view retry_after = "Retry-After";        ///< whole seconds

} // namespace fields

/// Maximum length of an idempotency key, in characters.
inline constexpr std::size_t max_key_length = 200;

/// The properties of a caller's request that the dispatch depends on.
struct caller_request
{
    std::string pool;
    ports::request_class klass = ports::request_class::normal;
    std::string key;             ///< claim key "pool/key"; empty: no idempotency key was given
    std::uint64_t body_hash = 0; ///< hash of method, path, query and body
    bool idempotent = false;     ///< may be sent again after a send that may have run
    core::millis time_left{0};   ///< until the deadline
    core::millis expected{0};    ///< run time that the caller expects; 0: not given
    int earlier_attempts = 0;    ///< attempts by the caller or by previous hops
};

/// Reads the header fields above.
/// \return the request, or one finding for each invalid field.
std::variant<caller_request, core::findings> read_caller_request(
    const ports::http_request& request, const model::pool_config& pool);

} // namespace camphorhitch::dispatch
