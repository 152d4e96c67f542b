/// \file
/// Findings at a place of the text.
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

/// \return \p text in quotes, cut to a length fit for a message, without control characters.
inline std::string cited(const std::string& text)
{
    return '\'' + checked_json::shown(text) + '\'';
}

} // namespace camphorhitch::language
