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
    const auto at = text.rfind(separator);
    const auto born = at == std::string_view::npos ? 0 : read_born(text.substr(at + 1));
    return {std::string(born == 0 ? text : text.substr(0, at)), born};
}

bool is_same_runner(std::string_view a, std::string_view b)
{
    return read_incarnation(a).runner == read_incarnation(b).runner;
}

} // namespace camphorhitch::ports
