#include "endpoint.hpp"

#include "http/address.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace camphorhitch::http
{

namespace
{

/// Longer than any IPv6 address with its brackets and port. A port may have leading zeros, and the
/// text is sent in every order to a relay.
constexpr std::size_t max_length = 64;

std::optional<std::uint16_t> parse_port(const std::string& text)
{
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, port);
    if (ec != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return port;
}

endpoint make_v4(const in_addr& ip, std::uint16_t port)
{
    endpoint out;
    auto& it = reinterpret_cast<sockaddr_in&>(out.address);
    it.sin_family = AF_INET;
    it.sin_addr = ip;
    it.sin_port = htons(port);
    out.length = sizeof(it);
    return out;
}

endpoint make_v6(const in6_addr& ip, std::uint16_t port)
{
    endpoint out;
    auto& it = reinterpret_cast<sockaddr_in6&>(out.address);
    it.sin6_family = AF_INET6;
    it.sin6_addr = ip;
    it.sin6_port = htons(port);
    out.length = sizeof(it);
    return out;
}

} // namespace

std::optional<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    // inet_pton() and curl would ignore the text after a zero byte.
    const bool plain = text.size() <= max_length && text.find('\0') == std::string::npos;
    if (colon == std::string::npos || !plain)
    {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    const auto host = text.substr(0, colon);
    if (!port)
    {
        return std::nullopt;
    }
    in_addr v4{};
    if (::inet_pton(AF_INET, host.c_str(), &v4) == 1)
    {
        return make_v4(v4, *port);
    }
    in6_addr v6{};
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed && ::inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6) == 1)
    {
        return make_v6(v6, *port);
    }
    return std::nullopt;
}

bool is_address(const std::string& text)
{
    return parse_endpoint(text).has_value();
}

std::uint16_t local_port(int fd)
{
    endpoint out;
    out.length = sizeof(out.address);
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&out.address), &out.length) != 0)
    {
        return 0;
    }
    return ntohs(out.address.ss_family == AF_INET6
                     ? reinterpret_cast<sockaddr_in6&>(out.address).sin6_port
                     : reinterpret_cast<sockaddr_in&>(out.address).sin_port);
}

} // namespace camphorhitch::http
