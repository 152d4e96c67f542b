/// \file
/// Descriptions of the elements that the grammar expects, and findings about unexpected input.
#pragma once

#include "core/findings.hpp"
#include "source.hpp"

#include <string>

namespace camphorhitch::language
{

inline constexpr const char* expected_statement = "a statement";
inline constexpr const char* expected_table = "a table";
inline constexpr const char* expected_subject = "a subject";
inline constexpr const char* expected_owner = "something with settings";
inline constexpr const char* expected_selection = "a selection of hosts";
inline constexpr const char* expected_startable = "something to start";
inline constexpr const char* expected_cancellable = "something to cancel";
inline constexpr const char* expected_end = "the end of the statement";

/// \return a finding that names the expected element and the input found instead.
/// \param it position of the unexpected input.
/// \param document name of the text in the finding.
core::finding unexpected_input(
    const source& text, const char* it, const std::string& expected, const std::string& document);

} // namespace camphorhitch::language
