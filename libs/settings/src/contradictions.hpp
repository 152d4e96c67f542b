/// \file
/// Detection of settings that are valid individually and contradict each other.
#pragma once

#include "checked_json/document.hpp"
#include "settings/daemon_settings.hpp"

namespace camphorhitch::settings
{

/// \param d the document from which \p s was read, for positions.
/// \param found the findings so far. A contradiction that involves a value with a finding is not
///     reported.
core::findings contradictions(
    const daemon_settings& s, const checked_json::document& d, const core::findings& found);

} // namespace camphorhitch::settings
