/// \file
/// Which pool a host belongs to, from documents that may have been read at different revisions.
#pragma once

#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// A pool's document as this process last saw it.
struct pool_view
{
    model::pool_document document;
    std::int64_t revision = 0; ///< of the document's last write; 0: it does not exist yet
};

struct host_owner
{
    std::string pool;           ///< empty: no document names the host
    std::int64_t ownership = 0; ///< of the entry that decided
    bool in_transit = false;    ///< released to \p pool and not adopted there yet
};

/// \return the owner by the highest ownership number; entries with ownership 0 own nothing.
host_owner owner_of(const std::string& host, const std::vector<pool_view>& documents);

/// \return whether any document but \p except names \p host, in whatever role.
bool named_elsewhere(
    const std::string& host, const std::string& except, const std::vector<pool_view>& documents);

/// Whether a decision may rest on other documents *not* naming a host.
///
/// A view of them that is older than the document to be written could miss an entry, or still show
/// one that was dealt with long ago, and the host would end up in two pools. With views read at or
/// after that document's revision, and the write conditional on that revision, neither can be.
struct other_pools
{
    const std::vector<pool_view>&
        documents;          ///< every pool document known, the own one may be among
    std::int64_t as_of = 0; ///< store revision at which all of them were known to be current
};

/// \return whether \p others is recent enough beside a document of revision \p own_revision.
bool is_current(const other_pools& others, std::int64_t own_revision);

/// \return whether no document but that of \p pool names \p host, by a view that is recent enough.
bool is_settled(const std::string& host,
    const std::string& pool,
    std::int64_t own_revision,
    const other_pools& others);

} // namespace camphorhitch::fleet
