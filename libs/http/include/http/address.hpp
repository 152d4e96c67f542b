/// \file
/// Addresses of the form "ip:port".
#pragma once

#include <string>

namespace camphorhitch::http
{

/// \param text for example "127.0.0.1:80" or "[::1]:80"
/// \return whether \p text is a numeric IP address with a port. Host names are not accepted, so
/// that no call waits for a resolver.
bool is_address(const std::string& text);

} // namespace camphorhitch::http
