/// \file
/// Findings: everything wrong with an input, each with its place, reported together.
#pragma once

#include <string>
#include <vector>

namespace camphorhitch::core
{

/// Where a finding is. Fields that are not known stay empty or zero.
struct place
{
    std::string document; ///< a file's or document's name
    std::string pointer;  ///< JSON pointer inside the document
    int line = 0;         ///< 1-based
    int column = 0;       ///< 1-based
};

struct finding
{
    place where;
    std::string text;
    std::string suggestion; ///< a near miss, or empty
};

using findings = std::vector<finding>;

/// \return one line a finding: `document:line:column pointer: text (did you mean ...?)`.
std::string to_text(const findings& all);

/// \return the name in \p known closest to \p word within two edits, or an empty string.
std::string nearest_name(const std::string& word, const std::vector<std::string>& known);

} // namespace camphorhitch::core
