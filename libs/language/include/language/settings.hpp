/// \file
/// What `set` may assign, and its effect on the configuration.
#pragma once

#include "core/findings.hpp"
#include "language/statements.hpp"
#include "language/values.hpp"
#include "model/config.hpp"

#include <string>
#include <vector>

namespace camphorhitch::language
{

struct setting
{
    std::string name;
    value_kind kind = value_kind::text;
};

/// \return what can be assigned to \p owner, in the order of the documentation.
const std::vector<setting>& settings_of(setting_owner owner);

/// \return what is wrong with \p s whatever the configuration: unknown settings, values of a wrong
///     kind or out of range, a setting assigned twice.
core::findings check(const set_statement& s, const std::string& document);

/// Assigns in \p c, or changes nothing and says why. model::check() then finds contradictions
/// within the new configuration.
core::findings apply(const set_statement& s, model::configuration& c, const std::string& document);

} // namespace camphorhitch::language
