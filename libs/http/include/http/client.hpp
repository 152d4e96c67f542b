/// \file
/// HTTP/1.1 client on the event loop, based on curl's multi-socket interface. Implements
/// ports::http_client.
#pragma once

#include "ports/http.hpp"
#include "reactor/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace camphorhitch::http
{

/// Limits of one client.
struct client_limits
{
    /// Further calls to the same address wait for a connection, within their timeouts; 0: no limit.
    std::size_t max_connections_per_host = 64;
    /// Connections that are kept open for reuse, for all addresses together.
    std::size_t max_idle_connections = 1024;
    /// A connection that has been idle for longer is not reused, because a device on the network
    /// path may have dropped it. Rounded up to seconds.
    core::millis max_idle_time{10000};
    /// A connection is closed when sent data stays unacknowledged for longer.
    core::millis max_unacknowledged_time{3000};
    /// Priority with which the event loop handles the sockets of the client.
    reactor::urgency urgency = reactor::urgency::normal;
};

/// A call whose answer is delivered in parts and may last indefinitely.
struct stream_call
{
    ports::http_call call; ///< total_timeout and largest_answer are ignored
    /// The call ends when no byte has been received for this long.
    core::millis idle_timeout{30000};
    /// Called with each received part of the answer's body.
    std::function<void(std::string_view chunk)> on_chunk;
    /// Called once, unless the call is cancelled. The body of the answer in the outcome is empty.
    std::function<void(ports::http_outcome)> on_end;
};

class client_builder;
struct client_state;

/// An HTTP client with a pool of connections. The event loop must outlive the client. The client
/// must not be destroyed inside one of its callbacks. When the client is destroyed, open calls end
/// without a callback.
class client
{
public:
    using builder = client_builder;

    client(client&&) noexcept;
    client& operator=(client&&) noexcept;
    ~client();

    /// \return the port, whose functions are valid while the client exists. send() never calls a
    /// callback itself. The request of a call is never sent twice.
    ports::http_client port() const;

    /// Starts a call with a streamed answer.
    /// \return an id that port().cancel() accepts
    ports::call_id stream(stream_call call);

private:
    friend class client_builder;
    explicit client(std::unique_ptr<client_state> state);

    std::unique_ptr<client_state> state_;
};

/// Creates a client. The loop is required.
class client_builder
{
public:
    client_builder& loop(reactor::event_loop& it);
    client_builder& limits(client_limits it);
    client build() const;

private:
    reactor::event_loop* loop_ = nullptr;
    client_limits limits_;
};

} // namespace camphorhitch::http
