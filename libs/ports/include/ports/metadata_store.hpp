/// \file
/// Port to a store with transactions over several keys, leases and watches. It holds all state that
/// must survive the end of a process.
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
    revision modified = 0; ///< revision of the key's last write
    revision created = 0;  ///< revision at which the key was created
    lease_id lease = 0;    ///< lease that the key is attached to; 0: none
};

/// The result of reading one key. With status ok and no item, the key does not exist.
struct item_read
{
    kv_status status = kv_status::unavailable;
    std::optional<stored_item> item;
    revision store_revision = 0; ///< revision of the store at the read
};

/// One page of a range. The pages of one range are not a consistent snapshot: each is read at its
/// own store revision.
struct page_read
{
    kv_status status = kv_status::unavailable;
    std::vector<stored_item> items;
    bool more = false; ///< there is another page, which begins after the last key of this one
    revision store_revision = 0; ///< revision of the store at the read
};

struct stored_change
{
    bool removed = false;
    stored_item item; ///< of a removed key, only key and modified are set
};

struct changes_read
{
    kv_status status = kv_status::unavailable;
    bool change_log_truncated = false; ///< the store no longer has all changes after the revision
    std::vector<stored_change> changes;
    revision store_revision = 0; ///< the next watch continues after this revision
};

/// Requires that a key has the expected revision; 0: that the key does not exist.
struct store_condition
{
    std::string key;
    revision expected = 0;
};

struct store_put
{
    std::string key;
    std::string value;
    lease_id lease = 0; ///< lease to attach the key to; 0: none
};

/// When all conditions hold, all puts and removals take effect together; otherwise none does.
struct store_transaction
{
    std::vector<store_condition> conditions;
    std::vector<store_put> puts;
    std::vector<std::string> removals; ///< keys to delete
};

struct commit_result
{
    kv_status status = kv_status::unavailable;
    revision modified = 0;            ///< when ok: the new revision of all written keys
    std::vector<stored_item> current; ///< on conflict: the existing keys among the conditions
    bool lease_missing = false;       ///< a put refers to a lease that has ended
};

/// How fresh a read must be.
enum class read_freshness
{
    newest,    ///< includes every acknowledged write
    any_recent ///< may be seconds old, at a fraction of the cost
};

struct metadata_store
{
    std::function<void(std::string key, read_freshness, std::function<void(item_read)>)> get;
    /// Reads the keys that start with \p prefix, page by page. \p after is the last key of the
    /// previous page, or empty for the first page.
    std::function<void(std::string prefix, std::string after, std::function<void(page_read)>)>
        range;
    /// Reads the changes after a revision, waiting up to \p wait for the first one.
    std::function<void(
        std::string prefix, revision after, core::millis wait, std::function<void(changes_read)>)>
        watch;
    std::function<void(store_transaction, std::function<void(commit_result)>)> commit;
    std::function<void(core::millis ttl, std::function<void(kv_lease)>)> grant_lease;
    std::function<void(lease_id, std::function<void(kv_lease)>)> keep_alive;
    std::function<void(lease_id, std::function<void(kv_status)>)> end_lease;
};

} // namespace camphorhitch::ports
