/// \file
/// The grammar; the only code that includes Boost.Spirit.
#pragma once

#include "language/statements.hpp"
#include "source.hpp"

#include <variant>

namespace camphorhitch::language
{

/// A statement and the place after it.
struct statement_end
{
    statement what;
    const char* after = nullptr;
};

/// \param it where a statement begins.
/// \param document the text's name in a finding.
std::variant<statement_end, core::finding> read_statement(
    const source& text, const char* it, const std::string& document);

} // namespace camphorhitch::language
