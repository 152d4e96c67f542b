/// \file
/// Port to the platform's key-value service: compare-and-swap on one key, leases, watches.
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
    lease_id lease = 0;
};

/// How a call ended.
enum class kv_status
{
    ok,
    conflict,    ///< the comparison failed; certainly nothing was written by this call
    unavailable, ///< no answer; certainly nothing was written (no byte of the call left)
    unknown,     ///< no answer; a write may have taken effect
    rejected     ///< the service refused (rate limit, no such lease, size, token)
};

struct kv_read
{
    kv_status status = kv_status::unavailable;
    std::vector<kv_entry> entries;
    revision store_revision = 0; ///< the store's revision at the read
};

struct kv_write
{
    kv_status status = kv_status::unavailable;
    revision modified = 0; ///< the key's new revision when ok; the current one on conflict, or 0
    kv_entry current;      ///< on conflict: what stands there now, when the key exists
};

struct kv_lease
{
    kv_status status = kv_status::unavailable;
    lease_id id = 0;
    core::millis ttl{0}; ///< 0 on a keep-alive: the lease has lapsed
};

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
    /// All keys that start with \p prefix.
    std::function<void(std::string prefix, std::function<void(kv_read)>)> range;
    /// Compares only: ok when the key's revision is \p expected, conflict otherwise. Never stale,
    /// and small on the wire, since no value is returned.
    std::function<void(std::string key, revision expected, std::function<void(kv_write)>)> check;
    /// Writes when the key's revision is \p expected (0: only when it does not exist).
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
    /// Streams changes of keys under \p prefix from \p from_revision on. \p on_end is called once
    /// when the stream has ended for whatever reason; the holder reads again and watches anew.
    std::function<watch_id(std::string prefix,
        revision from_revision,
        std::function<void(std::vector<kv_event>)> on_events,
        std::function<void()> on_end)>
        watch;
    std::function<void(watch_id)> cancel_watch;
};

} // namespace camphorhitch::ports
