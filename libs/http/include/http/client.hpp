/// \file
/// HTTP/1.1 client on the event loop, over curl's multi-socket interface. Fills ports::http_client.
#pragma once

#include "ports/http.hpp"
#include "reactor/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace camphorhitch::http
{

struct client_limits
{
    /// More calls to one address wait, within their timeouts; 0: no bound.
    std::size_t most_connections_per_host = 64;
    std::size_t most_idle_connections = 1024;
    /// A connection idle for longer is not used again, because something in between may have
    /// forgotten it. Rounded up to seconds.
    core::millis longest_idle{10000};
    /// A connection whose bytes stay without acknowledgement for longer is given up.
    core::millis longest_unacknowledged{3000};
    reactor::urgency urgency = reactor::urgency::usual; ///< of what comes in
};

/// A call whose answer comes in parts, for as long as it takes.
struct stream_call
{
    ports::http_call call; ///< total_timeout and largest_answer don't count
    /// The call ends when no byte came for so long.
    core::millis longest_silence{30000};
    std::function<void(std::string_view chunk)> on_chunk;
    /// Called once unless cancelled; the answer's body is empty.
    std::function<void(ports::http_outcome)> on_end;
};

class client_builder;
struct client_state;

/// Holds a pool of connections. The loop must outlive it; it must not be destroyed inside a
/// callback of its own. Pending calls are dropped without a callback when it is destroyed.
class client
{
public:
    using builder = client_builder;

    client(client&&) noexcept;
    client& operator=(client&&) noexcept;
    ~client();

    /// The port struct; its functions are good while the client lives. No callback runs inside
    /// send. A request is never sent twice for one call.
    ports::http_client port() const;

    /// \return an id that port().cancel takes.
    ports::call_id stream(stream_call call);

private:
    friend class client_builder;
    explicit client(std::unique_ptr<client_state> state);

    std::unique_ptr<client_state> state_;
};

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
