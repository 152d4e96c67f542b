/// \file
/// Base64 with padding (RFC 4648), for bytes inside JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::core
{

std::string to_base64(std::string_view bytes);

/// \return nothing when \p text isn't base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace camphorhitch::core
