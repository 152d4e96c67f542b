/// \file
/// The JSON of etcd's published v3 gateway: bytes in base64, 64-bit integers as strings, members
/// that are zero or empty left out.
#pragma once

#include "ports/http.hpp"
#include "ports/key_value.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::store
{

std::string key_body(const std::string& key);
std::string prefix_body(const std::string& prefix);
std::string put_body(const std::string& key,
    const std::string& value,
    ports::revision expected,
    ports::lease_id lease);
/// A comparison alone, which changes nothing and returns no value.
std::string check_body(const std::string& key, ports::revision expected);
std::string delete_body(const std::string& key, ports::revision expected);
std::string grant_body(core::millis ttl);
std::string lease_body(ports::lease_id id);
std::string watch_body(const std::string& prefix, ports::revision from);

/// What a call can have done, which decides what a missing answer means.
enum class effect
{
    none, ///< a read
    write
};

/// \return ok when there is an answer to read.
ports::kv_status status_of(const ports::http_outcome& outcome, effect what);

/// The status of a call whose answer made no sense.
ports::kv_status unreadable(effect what);

/// \return whether the service says that the named lease does not exist.
bool is_no_lease(const ports::http_outcome& outcome);

// ---- answers; nothing when they make no sense ----

std::optional<ports::kv_read> read_range(const std::string& text);
std::optional<ports::kv_write> read_transaction(const std::string& text);
std::optional<ports::kv_write> read_check(const std::string& text);
std::optional<ports::kv_lease> read_grant(const std::string& text);
std::optional<ports::kv_lease> read_keep_alive(const std::string& text);

/// One line of a watch's stream.
struct watch_part
{
    bool over = false; ///< cancelled, compacted or not understood: the stream is of no more use
    std::vector<ports::kv_event> events;
};

watch_part read_watch_line(const std::string& line);

} // namespace camphorhitch::store
