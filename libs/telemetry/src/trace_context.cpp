#include "trace_context.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace camphorhitch::telemetry
{

namespace
{

/// Length of a version 00 text: 2 + 32 + 16 + 2 digits and three dashes.
constexpr std::size_t text_size = 55;
constexpr std::uint64_t sampled_flag = 1;
constexpr std::uint64_t forbidden_version = 0xff;

/// \return the number; nothing unless all of \p digits are lower-case hexadecimal digits.
std::optional<std::uint64_t> hex(std::string_view digits)
{
    const auto is_hex = [](char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    if (!std::all_of(digits.begin(), digits.end(), is_hex))
    {
        return std::nullopt;
    }
    std::uint64_t v = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), v, 16);
    return v;
}

bool has_valid_layout(std::string_view text)
{
    return text.size() >= text_size && text[2] == '-' && text[35] == '-' && text[52] == '-';
}

/// Later versions may append further fields after a dash; version 00 has a fixed length.
bool has_valid_end(std::uint64_t version, std::string_view text)
{
    return text.size() == text_size || (version > 0 && text[text_size] == '-');
}

} // namespace

std::string trace_id_text(const trace_context& c)
{
    return fmt::format("{:016x}{:016x}", c.trace_high, c.trace_low);
}

std::string span_id_text(std::uint64_t span)
{
    return fmt::format("{:016x}", span);
}

std::string to_traceparent(const trace_context& c)
{
    return fmt::format("00-{}-{}-{:02x}",
        trace_id_text(c),
        span_id_text(c.span),
        c.sampled ? sampled_flag : std::uint64_t{0});
}

std::optional<trace_context> from_traceparent(std::string_view text)
{
    if (!has_valid_layout(text))
    {
        return std::nullopt;
    }
    const auto version = hex(text.substr(0, 2));
    const auto high = hex(text.substr(3, 16));
    const auto low = hex(text.substr(19, 16));
    const auto span = hex(text.substr(36, 16));
    const auto flags = hex(text.substr(53, 2));
    if (!version || !high || !low || !span || !flags)
    {
        return std::nullopt;
    }
    const bool is_zero = (*high == 0 && *low == 0) || *span == 0;
    if (*version == forbidden_version || !has_valid_end(*version, text) || is_zero)
    {
        return std::nullopt;
    }
    return trace_context{*high, *low, *span, (*flags & sampled_flag) != 0};
}

} // namespace camphorhitch::telemetry
