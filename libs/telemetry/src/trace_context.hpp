/// \file
/// The identity of a span and its W3C traceparent text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::telemetry
{

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

std::string to_traceparent(const trace_context& c);

/// \return the context, or nothing when \p text is malformed: then the trace starts anew, as the
/// W3C recommendation asks.
std::optional<trace_context> from_traceparent(std::string_view text);

} // namespace camphorhitch::telemetry
