/// \file
/// Parsing of addresses of the form "ip:port".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/socket.h>

namespace camphorhitch::http
{

/// A socket address.
struct endpoint
{
    sockaddr_storage address{};
    socklen_t length = 0;
};

/// \return the address, or nothing when \p text is invalid; see http/address.hpp.
std::optional<endpoint> parse_endpoint(const std::string& text);

/// \return the local port of a bound socket; 0 on failure.
std::uint16_t local_port(int fd);

} // namespace camphorhitch::http
