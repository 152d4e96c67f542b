/// \file
/// Rules for header fields, used by the server and the client.
#pragma once

#include "ports/http.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::http
{

/// \return whether the field describes the framing of a message on one connection, so that each hop
/// must generate its own. Copying a length from one message to another enables request smuggling.
bool is_hop_field(std::string_view name);

/// \return whether two field names are equal, ignoring case.
bool same_name(std::string_view a, std::string_view b);

/// \return whether the field consists of valid characters, so that it can't end its line early.
bool is_safe_field(std::string_view name, std::string_view text);

/// \return whether \p text is a token of the HTTP grammar, as methods and field names must be.
bool is_token(std::string_view text);

/// \return the value of Content-Length; nothing when the field is missing or malformed.
std::optional<std::uint64_t> content_length(const ports::http_fields& fields);

} // namespace camphorhitch::http
