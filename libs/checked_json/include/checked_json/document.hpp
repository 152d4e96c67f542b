/// \file
/// Parsing of JSON text within limits on its size.
#pragma once

#include "checked_json/node.hpp"
#include "core/findings.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace camphorhitch::checked_json
{

/// Limits on a text. A text beyond a limit is not parsed further and gives one finding.
struct parse_limits
{
    std::size_t bytes = 4u << 20;
    std::size_t depth = 64;        ///< of nested objects and arrays
    std::size_t values = 1u << 18; ///< a parsed value needs many times the memory of its text
};

/// A parsed text.
struct document
{
    std::string name; ///< name of the document in findings
    node root;
    core::findings duplicate_keys; ///< one finding for each duplicate key
};

/// \param name name of the document in findings.
/// \return the document, or the one finding that ended the parsing.
std::variant<document, core::findings> parse(
    const std::string& text, const std::string& name, const parse_limits& limits = {});

/// \return the position of the value at the JSON pointer \p pointer. When there is no such value,
/// the line and column are those of the innermost existing object or array on its path.
core::place place_of(const document& d, const std::string& pointer);

/// \return \p text truncated to a length suitable for a message, with control characters replaced.
std::string printable_excerpt(std::string_view text);

/// \return \p token escaped for use in a JSON pointer, truncated, with control characters replaced.
std::string pointer_token(std::string_view token);

} // namespace camphorhitch::checked_json
