/// \file
/// Answers of `why`, from recorded decisions.
#pragma once

#include "language/statements.hpp"
#include "operator_parts.hpp"

#include <optional>
#include <string>

namespace camphorhitch::daemon
{

/// \return the lines for people, or nothing when this member knows no such thing.
std::optional<std::string> explain(
    language::subject_kind kind, const std::string& id, const operator_parts& parts);

} // namespace camphorhitch::daemon
