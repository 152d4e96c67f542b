/// \file
/// Ports for HTTP: requests that callers send us, and requests that we send to targets.
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

/// Header fields in order; names compare without case.
using http_fields = std::vector<std::pair<std::string, std::string>>;

/// \return the first value of \p name, or nullptr.
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

/// Names one open exchange of a server; never used twice.
using exchange_id = std::uint64_t;

/// What a server tells its owner. The owner answers each exchange once, through http_server.
struct http_events
{
    std::function<void(exchange_id, http_request)> on_request;
    /// The caller went away before its answer; the exchange is over.
    std::function<void(exchange_id)> on_gone;
};

struct http_server
{
    std::function<void(exchange_id, http_response)> respond;
    /// Takes no new connection; open exchanges go on.
    std::function<void()> stop_accepting;
    std::function<std::size_t()> open_exchanges;
    std::uint16_t port = 0; ///< the port in use, also when 0 was asked for
};

/// How a call to a target ended.
enum class call_end
{
    answered,     ///< the whole answer came
    not_sent,     ///< no byte of the request left this process
    interrupted,  ///< some byte may have left and no whole answer came
    answer_broken ///< an answer came but was malformed, truncated or too large
};

struct http_call
{
    std::string address; ///< "ip:port"
    http_request request;
    core::millis connect_timeout{1000};
    core::millis total_timeout{10000};
    /// Checked when a connection stands, just before the first byte: later it is not sent. A call
    /// may wait for a connection, or its process be paused, longer than the right to send lasts.
    core::mono_time latest_start = core::mono_time::max();
    std::size_t largest_answer = 8u << 20; ///< bytes
    bool fresh_connection = false;         ///< never a connection that has been idle
};

struct http_outcome
{
    call_end end = call_end::not_sent;
    http_response response;
    std::string detail; ///< for logs
    bool new_connection = false;
    core::micros elapsed{0};
    std::uint64_t bytes_sent = 0;     ///< of HTTP, header included
    std::uint64_t bytes_received = 0; ///< of HTTP, header included
};

/// Names one call; 0 is none.
using call_id = std::uint64_t;

struct http_client
{
    std::function<call_id(http_call, std::function<void(http_outcome)>)> send;
    /// Gives up a call. Its callback is not called any more.
    std::function<void(call_id)> cancel;
};

} // namespace camphorhitch::ports
