/// \file
/// Rules about header fields that server and client share.
#pragma once

#include "ports/http.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::http
{

/// \return whether the field frames one hop's message, so that each hop must make its own:
/// a length copied from one message to another is how requests are smuggled.
bool is_hop_field(std::string_view name);

bool same_name(std::string_view a, std::string_view b);

/// \return whether a field can be written without breaking out of its line.
bool is_safe_field(std::string_view name, std::string_view text);

/// \return whether the text is a token of the HTTP grammar: a method or a field's name.
bool is_token(std::string_view text);

/// \return the value of Content-Length when there is a well-formed one.
std::optional<std::uint64_t> content_length(const ports::http_fields& fields);

} // namespace camphorhitch::http
