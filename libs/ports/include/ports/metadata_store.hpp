/// \file
/// Port to a store with transactions over several keys, leases and watches. What must outlive a
/// process lives there.
#pragma once

#include "ports/key_value.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

struct stored_item
{
    std::string key;
    std::string value;
    revision modified = 0; ///< revision of the last write
    revision created = 0;  ///< revision of the creation
    lease_id lease = 0;
};

/// One key's answer; without an item the key does not exist.
struct item_read
{
    kv_status status = kv_status::unavailable;
    std::optional<stored_item> item;
    revision store_revision = 0;
};

/// One page of a range. Pages of one range are not a snapshot.
struct page_read
{
    kv_status status = kv_status::unavailable;
    std::vector<stored_item> items;
    bool more = false; ///< the next page begins after the last key
    revision store_revision = 0;
};

struct stored_change
{
    bool removed = false;
    stored_item item; ///< when removed: the key and the revision only
};

struct changes_read
{
    kv_status status = kv_status::unavailable;
    bool history_lost = false; ///< the store no longer knows what came after that revision
    std::vector<stored_change> changes;
    revision store_revision = 0; ///< go on from here
};

/// Asks that a key's revision be this one; 0: that it does not exist.
struct store_condition
{
    std::string key;
    revision expected = 0;
};

struct store_put
{
    std::string key;
    std::string value;
    lease_id lease = 0;
};

/// All or nothing.
struct store_transaction
{
    std::vector<store_condition> conditions;
    std::vector<store_put> puts;
    std::vector<std::string> removals;
};

struct commit_result
{
    kv_status status = kv_status::unavailable;
    revision modified = 0;            ///< of all that was written, when ok
    std::vector<stored_item> current; ///< on conflict: the conditions' keys that exist
    bool lease_missing = false;       ///< a put named a lease that has ended
};

/// How fresh a read must be.
enum class read_freshness
{
    newest,    ///< sees every acknowledged write
    any_recent ///< may be seconds old, and costs a fraction
};

struct metadata_store
{
    std::function<void(std::string key, read_freshness, std::function<void(item_read)>)> get;
    /// \p after: the last key of the page before, or empty
    std::function<void(std::string prefix, std::string after, std::function<void(page_read)>)>
        range;
    /// Waits up to \p wait for changes after a revision.
    std::function<void(
        std::string prefix, revision after, core::millis wait, std::function<void(changes_read)>)>
        watch;
    std::function<void(store_transaction, std::function<void(commit_result)>)> commit;
    std::function<void(core::millis ttl, std::function<void(kv_lease)>)> grant_lease;
    std::function<void(lease_id, std::function<void(kv_lease)>)> keep_alive;
    std::function<void(lease_id, std::function<void(kv_status)>)> end_lease;
};

} // namespace camphorhitch::ports
