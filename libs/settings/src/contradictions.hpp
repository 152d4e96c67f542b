/// \file
/// Settings that are each right and can't stand together.
#pragma once

#include "checked_json/document.hpp"
#include "settings/daemon_settings.hpp"

namespace camphorhitch::settings
{

/// \param d the text that \p s was read from, for places.
/// \param found what is known to be wrong already; a contradiction with such a value isn't told.
core::findings contradictions(
    const daemon_settings& s, const checked_json::document& d, const core::findings& found);

} // namespace camphorhitch::settings
