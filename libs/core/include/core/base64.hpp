/// \file
/// Base64 with padding (RFC 4648), used to embed binary data in JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::core
{

std::string to_base64(std::string_view bytes);

/// \return the decoded bytes, or nothing when \p text is not valid base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace camphorhitch::core
