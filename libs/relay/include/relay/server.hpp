/// \file
/// A node as a relay: carries the coordinator's orders to runners out and sends the answers back.
///
/// It keeps no state beyond what is under way. When its connection ends, answers still to come are
/// dropped: the coordinator has counted them as unknown.
#pragma once

#include "core/result.hpp"
#include "ports/runners.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"
#include "reactor/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace camphorhitch::relay
{

struct server_limits
{
    /// Coordinators that may be connected; one at a time is usual, others linger after a
    /// take-over.
    std::size_t most_connections = 16;
    core::millis heartbeat{200}; ///< a frame leaves at least so often
    /// A connection heard of nothing for so long is closed. Only frees its descriptor.
    core::millis longest_silence{10000};
    /// After a standstill of this length what lies in the connections is dropped unread. The
    /// coordinator gives a silent relay up after as long.
    core::millis longest_standstill{700};
};

struct server_parts
{
    reactor::event_loop* loop = nullptr;
    ports::runners runners; ///< that carry the orders out
    ports::telemetry tel;
    /// A clock that goes on while the machine is suspended.
    std::function<core::mono_time()> boot_now;
};

struct server_state;

/// All members belong to the loop's thread. The loop must outlive it.
class server
{
public:
    /// \param address "ip:port"; port 0 takes a free one
    static core::result<std::unique_ptr<server>> open(
        const std::string& address, server_parts parts, server_limits limits);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    std::uint16_t port() const;

    /// Tells the coordinator to send nothing new; what is under way is still answered.
    void leave();

private:
    explicit server(std::shared_ptr<server_state> state);

    std::shared_ptr<server_state> state_;
};

} // namespace camphorhitch::relay
