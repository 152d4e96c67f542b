/// \file
/// The JSON format of etcd's public v3 gateway: bytes are in base64, 64-bit integers are strings,
/// and members that are zero or empty are omitted.
#pragma once

#include "ports/http.hpp"
#include "ports/key_value.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::store
{

// ---- request bodies ----

std::string key_body(const std::string& key);
std::string prefix_body(const std::string& prefix);
std::string put_body(const std::string& key,
    const std::string& value,
    ports::revision expected,
    ports::lease_id lease);
/// \return a transaction with only a comparison, which changes nothing and returns no value.
std::string check_body(const std::string& key, ports::revision expected);
std::string delete_body(const std::string& key, ports::revision expected);
std::string grant_body(core::millis ttl);
std::string lease_body(ports::lease_id id);
std::string watch_body(const std::string& prefix, ports::revision from);

/// Effect that a call can have. Determines the status of a call without an answer.
enum class effect
{
    none, ///< a read
    write
};

/// \return the status of the call; ok when there is an answer to parse.
ports::kv_status status_of(const ports::http_outcome& outcome, effect what);

/// \return the status of a call whose answer is invalid.
ports::kv_status invalid_answer_status(effect what);

/// \return whether the service says that the named lease does not exist.
bool is_lease_not_found(const ports::http_outcome& outcome);

// ---- parsers of answers; they return nothing for an invalid answer ----

std::optional<ports::kv_read> read_range(const std::string& text);
std::optional<ports::kv_write> read_transaction(const std::string& text);
std::optional<ports::kv_write> read_check(const std::string& text);
std::optional<ports::kv_lease> read_grant(const std::string& text);
std::optional<ports::kv_lease> read_keep_alive(const std::string& text);

/// The content of one line of a watch's stream.
struct watch_message
{
    bool ended = false; ///< cancelled, compacted or invalid; the stream can't be used any more
    std::vector<ports::kv_event> events;
};

watch_message read_watch_line(const std::string& line);

} // namespace camphorhitch::store
