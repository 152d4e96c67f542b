#include "language/values.hpp"

#include "core/names.hpp"

#include <array>
#include <charconv>
#include <limits>

namespace camphorhitch::language
{

namespace
{

struct unit
{
    std::string_view name;
    std::int64_t ms;
};

// In descending order, so that to_text() uses the largest possible unit.
constexpr std::array<unit, 5> units{{
    {"d", 24LL * 3600 * 1000},
    {"h", 3600LL * 1000},
    {"m", 60LL * 1000},
    {"s", 1000},
    {"ms", 1},
}};

constexpr core::name_table<value_kind, 5> kind_descriptions{{
    {value_kind::text, "a text"},
    {value_kind::integer, "a whole number"},
    {value_kind::number, "a number"},
    {value_kind::duration, "a duration such as 250ms, 30s, 5m, 2h or 1d"},
    {value_kind::boolean, "true or false"},
}};

template <class T>
std::optional<T> parse_number(std::string_view text)
{
    T n{};
    const char* end = text.data() + text.size();
    const auto [after, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || after != end)
    {
        return std::nullopt;
    }
    return n;
}

} // namespace

std::optional<std::int64_t> read_integer(std::string_view text)
{
    return parse_number<std::int64_t>(text);
}

std::optional<double> read_number(std::string_view text)
{
    // from_chars() accepts "nan" and "infinity", which give meaningless comparisons and sums.
    constexpr std::string_view starts = "-.0123456789";
    const auto n = parse_number<double>(text);
    const bool is_finite = n && *n >= std::numeric_limits<double>::lowest() &&
                           *n <= std::numeric_limits<double>::max();
    if (!is_finite || starts.find(text.front()) == std::string_view::npos)
    {
        return std::nullopt;
    }
    return n;
}

std::optional<core::millis> read_duration(std::string_view text)
{
    const auto digits = text.find_first_not_of("0123456789");
    if (digits == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto n = read_integer(text.substr(0, digits));
    for (const auto& it : units)
    {
        const bool fits = n && *n <= std::numeric_limits<std::int64_t>::max() / it.ms;
        if (fits && text.substr(digits) == it.name)
        {
            return core::millis{*n * it.ms};
        }
    }
    return std::nullopt;
}

std::optional<bool> read_boolean(std::string_view text)
{
    if (text == "true" || text == "false")
    {
        return text == "true";
    }
    return std::nullopt;
}

std::string describe_kind(value_kind kind)
{
    return std::string(core::name_of(kind_descriptions, kind));
}

std::string to_text(core::millis t)
{
    if (t.count() == 0)
    {
        return "0s";
    }
    for (const auto& it : units)
    {
        if (t.count() % it.ms == 0)
        {
            return std::to_string(t.count() / it.ms) + std::string(it.name);
        }
    }
    return {};
}

} // namespace camphorhitch::language
