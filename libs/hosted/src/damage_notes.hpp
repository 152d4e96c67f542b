/// \file
/// Tells each damaged text once. Lists are read several times a second, and a text stays damaged
/// until somebody writes it anew: told at each reading it would crowd all other lines out.
#pragma once

#include "ports/metadata_store.hpp"

#include <map>
#include <string>

namespace camphorhitch::hosted
{

struct damage_notes
{
    std::map<std::string, ports::revision> told; ///< by key: the revision that was told
};

/// \return whether \p it has not been told yet; it is noted then.
bool is_news(damage_notes& notes, const ports::stored_item& it);

} // namespace camphorhitch::hosted
