/// \file
/// Parsing of JSON text within bounds.
#pragma once

#include "checked_json/node.hpp"
#include "core/findings.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace camphorhitch::checked_json
{

/// What a text may cost at most. More than that gives a finding.
struct bounds
{
    std::size_t bytes = 4u << 20;
    std::size_t depth = 64;        ///< nested objects and arrays
    std::size_t values = 1u << 18; ///< a parsed value takes many times the bytes of its text
};

struct document
{
    std::string name;
    node root;
    core::findings found; ///< duplicate keys
};

/// \param name the document's name in findings.
/// \return the document, or the one finding that ended the parsing.
std::variant<document, core::findings> parse(
    const std::string& text, const std::string& name, const bounds& most = {});

/// \return the place of the value at \p pointer, with the line of the innermost object or list on
/// the way when there is no such value.
core::place place_of(const document& d, const std::string& pointer);

/// \return \p text cut to a length fit for a message, with control characters replaced.
std::string shown(std::string_view text);

/// \return \p token escaped for use in a JSON pointer, cut like shown().
std::string pointer_token(std::string_view token);

} // namespace camphorhitch::checked_json
