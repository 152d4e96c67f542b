/// \file
/// Limits the log to one line per damaged record. Lists are read several times a second, and a
/// record stays damaged until it is written again: one line per read would crowd out all other log
/// lines.
#pragma once

#include "ports/metadata_store.hpp"

#include <map>
#include <string>

namespace camphorhitch::hosted
{

struct damaged_record_log
{
    /// By key: latest revision of a record reported as damaged.
    std::map<std::string, ports::revision> logged_revisions;
};

/// \return whether the damaged record \p it has not been logged yet; it counts as logged from then
/// on.
bool should_log(damaged_record_log& log, const ports::stored_item& it);

} // namespace camphorhitch::hosted
