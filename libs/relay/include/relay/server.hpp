/// \file
/// Runs a node as a relay: executes the coordinator's orders to runners and sends the answers back.
///
/// The relay keeps no state apart from orders in flight. When its connection ends, the remaining
/// answers are dropped: the coordinator has counted those orders as unknown.
#pragma once

#include "core/result.hpp"
#include "ports/runners.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"
#include "reactor/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace camphorhitch::relay
{

/// Limits and delays of a relay.
struct server_limits
{
    /// Largest number of connected coordinators. Usually one is connected; connections of previous
    /// coordinators may remain open after a takeover.
    std::size_t max_connections = 16;
    core::millis heartbeat_interval{200}; ///< longest time between two frames to a coordinator
    /// A connection without any received data for this long is closed, only to free its descriptor.
    core::millis connection_timeout{10000};
    /// After the process was paused for longer than this, the contents of the receive buffers are
    /// dropped unread. The coordinator gives up a relay that does not answer after the same time.
    core::millis max_pause{700};
};

/// What a relay uses.
struct server_parts
{
    reactor::event_loop* loop = nullptr;
    ports::runners runners; ///< used to execute the orders
    ports::telemetry tel;
    /// A clock that continues while the machine is suspended.
    std::function<core::mono_time()> boot_now;
};

struct server_state;

/// All members must be called on the thread of the event loop. The event loop must outlive this
/// object.
class server
{
public:
    /// \param address "ip:port"; port 0 selects a free port.
    /// \return the server, or `unavailable` when it can't listen at the address.
    static core::result<std::unique_ptr<server>> open(
        const std::string& address, server_parts parts, server_limits limits);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// \return the port on which the relay listens.
    std::uint16_t port() const;

    /// \return when a coordinator last sent an order, by server_parts::boot_now; nothing before the
    /// first one. A coordinator sends orders only while the metadata store serves it.
    std::optional<core::mono_time> last_order_at() const;

    /// Asks the coordinators to send no further orders. Orders in flight are still answered.
    void leave();

private:
    explicit server(std::shared_ptr<server_state> state);

    std::shared_ptr<server_state> state_;
};

} // namespace camphorhitch::relay
