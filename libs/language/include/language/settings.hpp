/// \file
/// The settings that `set` can assign, and its effect on the configuration.
#pragma once

#include "core/findings.hpp"
#include "language/statements.hpp"
#include "language/values.hpp"
#include "model/config.hpp"

#include <string>
#include <vector>

namespace camphorhitch::language
{

/// A setting that `set` can assign.
struct setting
{
    std::string name; ///< as written in a statement, for example "budget.absent"
    value_kind kind = value_kind::text;
};

/// \return the settings of \p owner, in the order of the documentation.
const std::vector<setting>& assignable_settings(setting_owner owner);

/// \return the findings of \p s that do not depend on the configuration: unknown settings, values
///     of a wrong kind or out of range, a setting that is assigned twice.
/// \param document name of the text in findings.
core::findings check(const set_statement& s, const std::string& document);

/// Assigns the values in \p c. When there are findings, \p c is unchanged. Contradictions within
/// the new configuration are found by model::check().
/// \param document name of the text in findings.
core::findings apply(const set_statement& s, model::configuration& c, const std::string& document);

} // namespace camphorhitch::language
