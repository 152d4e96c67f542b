/// \file
/// Findings: all problems of an input, reported together, each with its position.
#pragma once

#include <string>
#include <vector>

namespace camphorhitch::core
{

/// Position of a finding. Unknown fields are empty or zero.
struct place
{
    std::string document; ///< name of the file or document
    std::string pointer;  ///< JSON pointer into the document
    int line = 0;         ///< 1-based
    int column = 0;       ///< 1-based
};

/// One problem of an input.
struct finding
{
    place where;
    std::string text;       ///< description of the problem
    std::string suggestion; ///< a valid name close to the given one; empty: none
};

using findings = std::vector<finding>;

/// \return one line for each finding: `document:line:column pointer: text (did you mean ...?)`.
std::string to_text(const findings& all);

/// \return the name in \p known that is closest to \p word by edit distance, at most 2, or an empty
/// string.
std::string nearest_name(const std::string& word, const std::vector<std::string>& known);

} // namespace camphorhitch::core
