/// \file
/// Parsing of text into statements.
#pragma once

#include "core/findings.hpp"
#include "language/statements.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorhitch::language
{

/// Maximum length of a text in bytes. A longer text is not parsed and gives one finding.
inline constexpr std::size_t max_text_bytes = 1u << 20;

/// Parsing ends after this number of findings: a text could otherwise give a finding for every few
/// bytes.
inline constexpr std::size_t max_findings = 100;

/// A statement and the position at which it starts.
struct located_statement
{
    position at;
    statement body;
};

/// Statements and findings of a text. When there is any finding, no statement of the text may be
/// run: otherwise a mistake in one line would leave the lines before it executed.
struct parse_result
{
    std::vector<located_statement> statements;
    core::findings findings;
};

/// Parses statements that are separated by `;` or line breaks; `#` starts a comment. After a
/// mistake the parser continues at the next separator, so that all findings are reported together.
/// \param document name of the text in findings.
parse_result parse(const std::string& text, const std::string& document);

} // namespace camphorhitch::language
