/// \file
/// Determines which pool a host belongs to, from documents that may have been read at different
/// revisions.
#pragma once

#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// A pool's document as this process last read or wrote it.
struct pool_view
{
    model::pool_document document;
    std::int64_t revision = 0; ///< store revision of the document's last write; 0: no document yet
};

/// The pool that owns a host.
struct host_owner
{
    std::string pool;           ///< empty: no document names the host
    std::int64_t ownership = 0; ///< ownership number of the entry with the highest number
    bool in_transit = false;    ///< released to the pool and not adopted there yet
};

/// \return the pool whose entry has the highest ownership number. Entries with ownership 0 are not
/// confirmed yet and own nothing.
host_owner owner_of(const std::string& host, const std::vector<pool_view>& documents);

/// \return whether any document other than that of pool \p except names \p host, as one of its
/// hosts or as a released host.
bool is_named_in_other_pool(
    const std::string& host, const std::string& except, const std::vector<pool_view>& documents);

/// Views of the pool documents, for decisions that rely on other documents *not* naming a host.
///
/// A view that is older than the document to be written could miss an entry, or still show an entry
/// that was adopted and removed long ago, and the host would end up in two pools. Views read at or
/// after that document's revision, together with a write that is conditional on that revision, rule
/// out both cases.
struct other_pool_views
{
    /// Every known pool document. The document of the deciding pool may be included.
    const std::vector<pool_view>& documents;
    std::int64_t as_of = 0; ///< store revision at which all documents were current
};

/// \return whether \p others was read at or after \p own_revision, the revision of the document to
/// be written.
bool is_current(const other_pool_views& others, std::int64_t own_revision);

/// \return whether no document other than that of \p pool names \p host, according to views that
/// are current in the sense of is_current().
bool is_confirmed_exclusive(const std::string& host,
    const std::string& pool,
    std::int64_t own_revision,
    const other_pool_views& others);

} // namespace camphorhitch::fleet
