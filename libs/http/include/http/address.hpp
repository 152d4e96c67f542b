/// \file
/// Addresses of the form "ip:port".
#pragma once

#include <string>

namespace camphorhitch::http
{

/// \param text "127.0.0.1:80" or "[::1]:80"; names are refused, so nothing waits for a resolver
bool is_address(const std::string& text);

} // namespace camphorhitch::http
