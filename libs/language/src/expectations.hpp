/// \file
/// What the grammar expects where, and findings about what stands there instead.
#pragma once

#include "core/findings.hpp"
#include "source.hpp"

#include <string>

namespace camphorhitch::language
{

inline constexpr const char* a_statement = "a statement";
inline constexpr const char* a_table = "a table";
inline constexpr const char* a_subject = "a subject";
inline constexpr const char* an_owner = "something with settings";
inline constexpr const char* a_selection = "a selection of hosts";
inline constexpr const char* startable = "something to start";
inline constexpr const char* cancellable = "something to cancel";
inline constexpr const char* end_of_statement = "the end of the statement";

/// \param it where \p what was expected.
/// \param document the text's name in the finding.
core::finding unexpected(
    const source& text, const char* it, const std::string& what, const std::string& document);

} // namespace camphorhitch::language
