/// \file
/// Ports for HTTP: a server for the requests of callers, and a client for requests to targets.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorhitch::ports
{

/// Header fields in order. Names are compared case-insensitively.
using http_fields = std::vector<std::pair<std::string, std::string>>;

/// \return the value of the first field called \p name, or nullptr.
const std::string* find_field(const http_fields& fields, std::string_view name);

struct http_request
{
    std::string method;
    std::string path;  ///< without the query
    std::string query; ///< without the question mark
    http_fields fields;
    std::string body;
};

struct http_response
{
    int status = 0;
    http_fields fields;
    std::string body;
};

/// Identifies one exchange (request and answer) of a server; never reused.
using exchange_id = std::uint64_t;

/// Callbacks of a server. Its user answers each exchange once through http_server::respond.
struct http_events
{
    std::function<void(exchange_id, http_request)> on_request;
    /// The caller closed the connection before the answer; the exchange is over.
    std::function<void(exchange_id)> on_gone;
};

struct http_server
{
    std::function<void(exchange_id, http_response)> respond;
    /// Stops accepting connections; open exchanges continue.
    std::function<void()> stop_accepting;
    std::function<std::size_t()> open_exchanges; ///< number of exchanges without an answer
    std::uint16_t port = 0; ///< the port in use, also when port 0 was requested
};

/// How a call to a target ended.
enum class call_end
{
    answered,     ///< the complete answer was received
    not_sent,     ///< no byte of the request left this process
    interrupted,  ///< part of the request may have been sent; no complete answer was received
    answer_broken ///< the answer was malformed, truncated or too large
};

struct http_call
{
    std::string address; ///< "ip:port"
    http_request request;
    core::millis connect_timeout{1000};
    core::millis total_timeout{10000};
    /// The request is not sent after this time. The client compares it with the clock when the
    /// connection is established, just before the first byte: the call may have waited for a
    /// connection, or the process may have been paused, for longer than the permission to send is
    /// valid.
    core::mono_time latest_start = core::mono_time::max();
    std::size_t largest_answer = 8u << 20; ///< bytes; a larger answer ends as answer_broken
    bool fresh_connection = false;         ///< no idle connection is reused
};

struct http_outcome
{
    call_end end = call_end::not_sent;
    http_response response;
    std::string detail;          ///< for logs
    bool new_connection = false; ///< the call opened a connection
    core::micros elapsed{0};
    std::uint64_t bytes_sent = 0;     ///< HTTP bytes, including the header
    std::uint64_t bytes_received = 0; ///< HTTP bytes, including the header
};

/// Identifies one call; 0: none.
using call_id = std::uint64_t;

struct http_client
{
    std::function<call_id(http_call, std::function<void(http_outcome)>)> send;
    /// Aborts a call. Its callback is not called any more.
    std::function<void(call_id)> cancel;
};

} // namespace camphorhitch::ports
