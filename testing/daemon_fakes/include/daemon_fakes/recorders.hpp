/// \file
/// Recorders of a daemon's log lines and HTTP answers.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "ports/http.hpp"
#include "ports/telemetry.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::daemon_fakes
{

/// Collects log lines as "12.345 event key=value".
struct log_recorder
{
    std::vector<std::string> lines;

    ports::telemetry port(virtual_time& time);
    bool has(const std::string& part) const;
};

/// Collects the answers of one listening address.
struct answer_recorder
{
    std::map<ports::exchange_id, ports::http_response> answers;
    ports::exchange_id last = 0;
    bool accepting = true;

    ports::http_server port();
    /// Delivers a caller's request to \p events in process \p to.
    /// \return the id of its exchange.
    ports::exchange_id send(process& to, const ports::http_events& events, ports::http_request r);
    /// \return the answer, or nullptr while there is none.
    const ports::http_response* find(ports::exchange_id id) const;
};

} // namespace camphorhitch::daemon_fakes
