/// \file
/// Answers to `why` statements, from recorded decisions.
#pragma once

#include "language/statements.hpp"
#include "service_refs.hpp"

#include <optional>
#include <string>

namespace camphorhitch::daemon
{

/// \return the explanation as lines of text, or nothing when this member has no record of the
/// subject.
std::optional<std::string> explain(
    language::subject_kind kind, const std::string& id, const service_refs& services);

} // namespace camphorhitch::daemon
