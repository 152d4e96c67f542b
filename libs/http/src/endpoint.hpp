/// \file
/// Addresses of the form "ip:port".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/socket.h>

namespace camphorhitch::http
{

struct endpoint
{
    sockaddr_storage address{};
    socklen_t length = 0;
};

/// \param text "127.0.0.1:80" or "[::1]:80"; names are refused, so nothing waits for a resolver
std::optional<endpoint> parse_endpoint(const std::string& text);

/// \return the local port of a bound socket, or 0.
std::uint16_t local_port(int fd);

} // namespace camphorhitch::http
