/// \file
/// A subset of etcd's v3 JSON gateway: parsers of requests, and JSON of records.
#pragma once

#include "standin_support/json.hpp"
#include "store.hpp"

#include <nlohmann/json_fwd.hpp>
#include <variant>

namespace camphorhitch::standin_kv
{

/// A request to read a range.
struct range_request
{
    key_range range;
    std::int64_t revision = 0;
    std::int64_t limit = 0;
    bool keys_only = false;
};

/// A request to watch a range.
struct watch_request
{
    key_range range;
    std::int64_t start_revision = 0;
};

/// A parsed request, or the findings.
template <class T>
using parsed = std::variant<T, core::findings>;

parsed<range_request> parse_range(const std::string& body);
/// Parses a transaction. Only compare-and-swap on one key is accepted.
parsed<transaction> parse_transaction(const std::string& body, std::size_t max_value_bytes);
parsed<watch_request> parse_watch(const std::string& body);
/// \return the lease's TTL.
parsed<core::millis> parse_grant(const std::string& body);
/// \return the lease's id.
parsed<std::int64_t> parse_lease_id(const std::string& body);

// As in the gateway, members that are 0, false or empty are omitted.
nlohmann::json header_json(std::int64_t revision);
nlohmann::json record_json(const record& r);
nlohmann::json range_json(std::int64_t revision, const std::vector<record>& found, bool keys_only);
nlohmann::json event_json(const change& c);

/// \return an error answer.
/// \param code gRPC status code
ports::http_response gateway_error(int status, int code, const std::string& text);
ports::http_response gateway_error(const core::findings& wrong);

} // namespace camphorhitch::standin_kv
