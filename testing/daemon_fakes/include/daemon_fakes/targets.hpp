/// \file
/// Simulated targets behind an HTTP client port. Each request runs for the target's run time and is
/// then answered.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "ports/http.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::daemon_fakes
{

/// State and counters of one target.
struct target
{
    int slots = 8;
    core::millis run_time{20};
    bool silent = false; ///< the target runs requests and never answers
    bool down = false;   ///< the target refuses connections
    int running = 0;
    int max_running = 0;
    /// Like max_running, without requests that their sender can no longer report to a new pool
    /// owner, because the sender died or its lease expired. No owner reserves slots for such
    /// requests.
    int max_reported = 0;
    std::vector<std::string> ran; ///< bodies of all requests, in the order of their start
    /// Senders of the running requests, each with its number of expirations at the start.
    std::vector<std::pair<const process*, int>> senders;
};

/// All targets of a simulation.
class targets
{
public:
    explicit targets(virtual_time& time);
    targets(const targets&) = delete;
    targets& operator=(const targets&) = delete;

    ports::http_client port(process& from);
    /// \return the number of runs of requests with that body on all targets.
    int runs_of(const std::string& body) const;

    std::map<std::string, target> all; ///< targets by address

private:
    void serve(process& from, const ports::http_call& call, ports::call_id id);

    virtual_time& time_;
    ports::call_id last_ = 0;
    std::map<ports::call_id, std::function<void(ports::http_outcome)>> open_;
};

} // namespace camphorhitch::daemon_fakes
