/// \file
/// The key-value store itself: revisions, history, leases. Time is passed in.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorhitch::standin_kv
{

/// One key as a write left it.
struct record
{
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0; ///< writes since the key was created
    std::int64_t lease = 0;
};

/// One write of the history.
struct change
{
    bool deleted = false;
    record now;
    std::int64_t at_ms = 0;     ///< milliseconds since 1970
    bool value_dropped = false; ///< too old: only the fact of the write is kept
};

struct lease
{
    core::millis ttl{0};
    core::mono_time expires;
    std::set<std::string> keys;
};

struct store
{
    std::int64_t revision = 1; ///< an empty store's, as in etcd
    std::vector<change> history;
    std::map<std::string, std::vector<std::size_t>> versions; ///< indices into the history
    std::map<std::int64_t, lease> leases;
    std::int64_t last_lease = 0;
    std::int64_t compacted = 0; ///< changes up to this revision can't be replayed

    std::size_t kept_bytes = 0; ///< of the history's values
    std::size_t first_kept = 0; ///< index of the oldest change that may still hold its value
    std::size_t most_kept_bytes = 512u << 20;
};

/// Keys in [from, to); an empty \p to means the one key, "\0" all keys from \p from on.
struct key_range
{
    std::string from;
    std::string to;
};

bool contains(const key_range& range, std::string_view key);

/// \param at a revision to read at, or 0 for now.
/// \param limit most records, or 0.
std::vector<record> read(
    const store& s, const key_range& range, std::int64_t at = 0, std::size_t limit = 0);

/// \return the key's record now.
std::optional<record> read_one(const store& s, const std::string& key);

/// What a transaction does when its comparison holds.
enum class effect
{
    none, ///< a comparison only
    put,
    remove
};

/// A transaction: one comparison on one key, and at most one write of that key.
struct transaction
{
    std::string key;
    std::int64_t expected = 0; ///< the key's mod_revision; 0: it doesn't exist
    effect does = effect::none;
    std::string value;
    std::int64_t lease = 0;
    bool reads_on_failure = false;
    bool reads_keys_only = false;
};

enum class verdict
{
    done,
    conflict,
    no_lease ///< the lease to put the key under doesn't exist
};

/// \param at_ms wall time for the history.
verdict apply(store& s, const transaction& t, std::int64_t at_ms);

/// \return the new lease's id.
std::int64_t grant(store& s, core::millis ttl, core::mono_time now);

/// \return the lease's time to live, or nothing when there is no such lease.
std::optional<core::millis> keep_alive(store& s, std::int64_t id, core::mono_time now);

/// Ends a lease and deletes its keys.
bool revoke(store& s, std::int64_t id, std::int64_t at_ms);

/// Revokes all leases whose time is over.
void expire(store& s, core::mono_time now, std::int64_t at_ms);

/// Gives every lease its full time again, as etcd does when its leader changes.
void extend_all(store& s, core::mono_time now);

/// \return index of the first change of \p revision or later in the history.
std::size_t position_of(const store& s, std::int64_t revision);

} // namespace camphorhitch::standin_kv
