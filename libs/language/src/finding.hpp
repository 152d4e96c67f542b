/// \file
/// Findings at a position in the text.
#pragma once

#include "checked_json/document.hpp"
#include "core/findings.hpp"
#include "language/statements.hpp"

namespace camphorhitch::language
{

inline core::finding finding_at(
    position at, const std::string& document, std::string text, std::string suggestion = {})
{
    return {{document, "", at.line, at.column}, std::move(text), std::move(suggestion)};
}

/// \return \p text in quotes, truncated to a length suitable for a message, with control characters
/// replaced.
inline std::string quoted_excerpt(const std::string& text)
{
    return '\'' + checked_json::printable_excerpt(text) + '\'';
}

} // namespace camphorhitch::language
