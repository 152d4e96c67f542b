#include "ports/incarnation.hpp"

#include <charconv>

namespace camphorhitch::ports
{

namespace
{

constexpr char separator = '/';

/// \return the start time; 0 when \p text is not one.
std::int64_t read_born(std::string_view text)
{
    std::int64_t out = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc{} && stop == end && out > 0 ? out : 0;
}

} // namespace

std::string write_incarnation(const incarnation& it)
{
    return it.born_ms == 0 ? it.runner : it.runner + separator + std::to_string(it.born_ms);
}

incarnation read_incarnation(std::string_view text)
{
    const auto runner = runner_of(text);
    const bool has_start = runner.size() < text.size();
    return {std::string(runner), has_start ? read_born(text.substr(runner.size() + 1)) : 0};
}

std::string_view runner_of(std::string_view text)
{
    const auto at = text.rfind(separator);
    const bool has_start = at != std::string_view::npos && read_born(text.substr(at + 1)) != 0;
    return has_start ? text.substr(0, at) : text;
}

bool is_same_runner(std::string_view a, std::string_view b)
{
    return runner_of(a) == runner_of(b);
}

} // namespace camphorhitch::ports
