/// \file
/// The last step of a graceful stop towards callers.
#pragma once

#include "ports/http.hpp"
#include "ports/scheduler.hpp"

#include <functional>

namespace camphorhitch::daemon
{

/// Takes no new connection, and waits until those who are connected have their answers: at least
/// a moment, for requests still on their way, and a bounded time.
class last_answers
{
public:
    last_answers(ports::scheduler& scheduler, ports::http_server server);

    /// \param done called once.
    void begin(std::function<void()> done);

private:
    void look(int looks);

    ports::scheduler& scheduler_;
    ports::http_server server_;
    std::function<void()> done_;
};

} // namespace camphorhitch::daemon
