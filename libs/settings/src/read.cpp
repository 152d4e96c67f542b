#include "contradictions.hpp"
#include "describe.hpp"

namespace camphorhitch::settings
{

namespace
{

constexpr checked_json::parse_limits settings_bounds{1u << 18, 16, 1u << 14};

} // namespace

std::variant<daemon_settings, core::findings> read_daemon_settings(
    const std::string& text, const std::string& file_name)
{
    auto parsed = checked_json::parse(text, file_name, settings_bounds);
    if (auto* found = std::get_if<core::findings>(&parsed))
    {
        return std::move(*found);
    }
    const auto& d = std::get<checked_json::document>(parsed);
    daemon_settings s;
    core::findings found = checked_json::read_record(d, checked_json::strictness::strict, s);
    const core::findings more = contradictions(s, d, found);
    found.insert(found.end(), more.begin(), more.end());
    if (!found.empty())
    {
        return found;
    }
    return s;
}

std::variant<client_settings, core::findings> read_client_settings(
    const std::string& text, const std::string& file_name)
{
    return checked_json::decode<client_settings>(
        text, file_name, checked_json::strictness::strict, settings_bounds);
}

} // namespace camphorhitch::settings
