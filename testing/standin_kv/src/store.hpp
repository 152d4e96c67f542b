/// \file
/// The key-value store: revisions, history and leases. Callers pass the present time.
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

/// State of one key after a write.
struct record
{
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0; ///< number of writes since the key was created
    std::int64_t lease = 0;
};

/// One write of the history.
struct change
{
    bool deleted = false;
    record now;                 ///< state of the key after the write
    std::int64_t at_ms = 0;     ///< milliseconds since 1970
    bool value_dropped = false; ///< the value was removed from the history to limit memory
};

/// A lease and the keys under it.
struct lease
{
    core::millis ttl{0};
    core::mono_time expires;
    std::set<std::string> keys;
};

/// The content of the store and its whole history.
struct store
{
    std::int64_t revision = 1; ///< an empty store has revision 1, as in etcd
    std::vector<change> history;
    std::map<std::string, std::vector<std::size_t>> versions; ///< indices into the history
    std::map<std::int64_t, lease> leases;
    std::int64_t last_lease = 0;
    std::int64_t compacted = 0; ///< changes up to this revision can't be replayed

    std::size_t kept_bytes = 0; ///< bytes of the values in the history
    std::size_t first_kept = 0; ///< index of the oldest change that may still hold its value
    std::size_t max_kept_bytes = 512u << 20;
};

/// Keys in [from, to). An empty \p to selects the single key \p from; "\0" selects all keys from
/// \p from on.
struct key_range
{
    std::string from;
    std::string to;
};

/// \return whether the range contains the key.
bool contains(const key_range& range, std::string_view key);

/// \return the records of a range in the order of keys.
/// \param at revision to read at; 0: the present one
/// \param limit maximum number of records; 0: no limit
std::vector<record> read(
    const store& s, const key_range& range, std::int64_t at = 0, std::size_t limit = 0);

/// \return the present record of a key.
std::optional<record> read_one(const store& s, const std::string& key);

/// Write of a transaction whose comparison is true.
enum class effect
{
    none, ///< no write
    put,
    remove
};

/// A transaction: one comparison on one key, and at most one write of that key.
struct transaction
{
    std::string key;
    std::int64_t expected = 0; ///< expected mod_revision of the key; 0: the key must not exist
    effect does = effect::none;
    std::string value;
    std::int64_t lease = 0;
    bool reads_on_failure = false;
    bool reads_keys_only = false;
};

/// Result of a transaction.
enum class verdict
{
    done,
    conflict, ///< the comparison is false
    no_lease  ///< the lease for the key does not exist
};

/// Executes a transaction.
/// \param at_ms wall time for the history
verdict apply(store& s, const transaction& t, std::int64_t at_ms);

/// Creates a lease.
/// \return the lease's id.
std::int64_t grant(store& s, core::millis ttl, core::mono_time now);

/// Renews a lease.
/// \return its time to live, or nothing if the lease does not exist.
std::optional<core::millis> keep_alive(store& s, std::int64_t id, core::mono_time now);

/// Ends a lease and deletes its keys.
/// \return false if the lease does not exist.
bool revoke(store& s, std::int64_t id, std::int64_t at_ms);

/// Revokes all expired leases.
void expire(store& s, core::mono_time now, std::int64_t at_ms);

/// Extends every lease to its full time to live, as etcd does after a change of its leader.
void extend_all(store& s, core::mono_time now);

/// \return the index in the history of the first change with \p revision or a later one.
std::size_t position_of(const store& s, std::int64_t revision);

} // namespace camphorhitch::standin_kv
