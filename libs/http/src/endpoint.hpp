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

/// \return nothing when \p text is no address; see http/address.hpp.
std::optional<endpoint> parse_endpoint(const std::string& text);

/// \return the local port of a bound socket, or 0.
std::uint16_t local_port(int fd);

} // namespace camphorhitch::http
