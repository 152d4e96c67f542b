/// \file
/// Port to the platform's key-value service: compare-and-swap on single keys, leases and watches.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

using revision = std::int64_t; ///< 0: the key does not exist
using lease_id = std::int64_t; ///< 0: no lease

struct kv_entry
{
    std::string key;
    std::string value;
    revision modified = 0; ///< revision of the key's last write
    lease_id lease = 0;    ///< lease that the key is attached to; 0: none
};

/// How a call ended.
enum class kv_status
{
    ok,
    conflict,    ///< the comparison failed; this call certainly wrote nothing
    unavailable, ///< no answer; certainly nothing was written, since no byte of the call was sent
    unknown,     ///< no answer; the write may have taken effect
    rejected     ///< the service refused the call (rate limit, unknown lease, size, token)
};

struct kv_read
{
    kv_status status = kv_status::unavailable;
    std::vector<kv_entry> entries;
    revision store_revision = 0; ///< revision of the store at the read
};

struct kv_write
{
    kv_status status = kv_status::unavailable;
    revision modified = 0; ///< when ok: the key's new revision; on conflict: the current one, or 0
    kv_entry current;      ///< on conflict: the current entry, when the key exists
};

struct kv_lease
{
    kv_status status = kv_status::unavailable;
    lease_id id = 0;
    core::millis ttl{0}; ///< remaining duration; 0 in a keep-alive: the lease has expired
};

/// One change of a key.
struct kv_event
{
    bool deleted = false;
    kv_entry entry;
};

/// Handle of a watch; 0 is none.
using watch_id = std::uint64_t;

struct key_value
{
    std::function<void(std::string key, std::function<void(kv_read)>)> get;
    /// Reads all keys that start with \p prefix.
    std::function<void(std::string prefix, std::function<void(kv_read)>)> range;
    /// Compares without writing: ok when the key's revision is \p expected, conflict otherwise. The
    /// result is never stale, and the answer is small, since it contains no value.
    std::function<void(std::string key, revision expected, std::function<void(kv_write)>)> check;
    /// Writes when the key's revision is \p expected; 0: only when the key does not exist.
    std::function<void(std::string key,
        std::string value,
        revision expected,
        lease_id lease,
        std::function<void(kv_write)>)>
        put_if;
    std::function<void(std::string key, revision expected, std::function<void(kv_write)>)>
        delete_if;
    std::function<void(core::millis ttl, std::function<void(kv_lease)>)> grant_lease;
    std::function<void(lease_id, std::function<void(kv_lease)>)> keep_alive;
    std::function<void(lease_id, std::function<void(kv_status)>)> revoke_lease;
    /// Streams the changes of keys that start with \p prefix, beginning at \p from_revision. \p
    /// on_end is called once when the stream has ended for any reason; the caller then reads the
    /// keys again and starts a new watch.
    std::function<watch_id(std::string prefix,
        revision from_revision,
        std::function<void(std::vector<kv_event>)> on_events,
        std::function<void()> on_end)>
        watch;
    std::function<void(watch_id)> cancel_watch;
};

} // namespace camphorhitch::ports
