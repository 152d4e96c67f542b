/// \file
/// Identifiers of a span and their W3C traceparent text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::telemetry
{

/// Identifiers of a span and of its trace, and the sampling decision.
struct trace_context
{
    std::uint64_t trace_high = 0;
    std::uint64_t trace_low = 0;
    std::uint64_t span = 0;
    bool sampled = false;
};

/// \return 32 hexadecimal digits.
std::string trace_id_text(const trace_context& c);

/// \return 16 hexadecimal digits.
std::string span_id_text(std::uint64_t span);

/// \return the traceparent header field, version 00.
std::string to_traceparent(const trace_context& c);

/// Parses a traceparent header field.
/// \return the context; nothing when \p text is malformed, in which case the W3C recommendation
/// requires a new trace.
std::optional<trace_context> from_traceparent(std::string_view text);

} // namespace camphorhitch::telemetry
