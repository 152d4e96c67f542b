/// \file
/// The grammar. Only its implementation includes Boost.Spirit, which is slow to compile.
#pragma once

#include "language/statements.hpp"
#include "source.hpp"

#include <variant>

namespace camphorhitch::language
{

/// A statement and the position after it.
struct parsed_statement
{
    statement body;
    const char* end = nullptr;
};

/// Reads one statement.
/// \param it start of the statement.
/// \param document name of the text in a finding.
/// \return the statement, or the finding at the first unexpected input.
std::variant<parsed_statement, core::finding> read_statement(
    const source& text, const char* it, const std::string& document);

} // namespace camphorhitch::language
