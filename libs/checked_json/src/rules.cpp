#include "checked_json/rules.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace camphorhitch::checked_json
{

namespace
{

constexpr std::size_t max_name_length = 64; ///< bytes; allowed characters have one byte each
constexpr int max_port = 65535;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
}

bool is_ip_address(const std::string& host)
{
    if (host.find('\0') != std::string::npos)
    {
        return false; // inet_pton() would ignore the text after it
    }
    in6_addr any{};
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
    {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &any) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &any) == 1;
}

bool is_port(const std::string& text)
{
    int port = -1;
    const char* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc{} && rest == end && port >= 0 && port <= max_port;
}

} // namespace

std::string check_name(const std::string& text)
{
    if (text.empty() || text.size() > max_name_length)
    {
        return "must have 1 to " + std::to_string(max_name_length) + " characters";
    }
    if (!std::all_of(text.begin(), text.end(), is_name_character))
    {
        return "may hold letters, digits, '.', '_' and '-' only";
    }
    return {};
}

std::string check_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    const bool has_port = colon != std::string::npos && is_port(text.substr(colon + 1));
    if (!has_port || !is_ip_address(text.substr(0, colon)))
    {
        return "must be an IP number and a port, as 10.0.0.7:8080 (no host name)";
    }
    return {};
}

std::string check_address_or_empty(const std::string& text)
{
    return text.empty() ? std::string{} : check_address(text);
}

} // namespace camphorhitch::checked_json
