/// \file
/// Text to statements.
#pragma once

#include "core/findings.hpp"
#include "language/statements.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorhitch::language
{

/// Longer texts give a finding and are not read.
inline constexpr std::size_t longest_text = 1u << 20; // bytes

/// Reading ends there: a long text could make a finding of each few bytes.
inline constexpr std::size_t most_findings = 100;

struct located_statement
{
    position at;
    statement what;
};

/// What a text holds. With any finding nothing of it may be run, so that a slip in one line doesn't
/// leave the lines before it done.
struct parsed
{
    std::vector<located_statement> statements;
    core::findings found;
};

/// Reads statements separated by `;` or line breaks; `#` starts a comment. Goes on after a mistake
/// at the next separator, so that all findings come together.
/// \param document the text's name in findings.
parsed parse(const std::string& text, const std::string& document);

} // namespace camphorhitch::language
