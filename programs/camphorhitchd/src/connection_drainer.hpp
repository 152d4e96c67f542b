/// \file
/// Drains callers' connections, as the last step of a graceful stop.
#pragma once

#include "ports/http.hpp"
#include "ports/scheduler.hpp"

#include <functional>

namespace camphorhitch::daemon
{

/// Stops accepting connections and waits until all open exchanges have been answered. The wait has
/// a minimum (0.2 s), for requests that are still on their way, and a maximum (2 s).
class connection_drainer
{
public:
    connection_drainer(ports::scheduler& scheduler, ports::http_server server);

    /// \param done called once.
    void begin(std::function<void()> done);

private:
    void check(int checks);

    ports::scheduler& scheduler_;
    ports::http_server server_;
    std::function<void()> done_;
};

} // namespace camphorhitch::daemon
