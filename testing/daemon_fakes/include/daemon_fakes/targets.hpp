/// \file
/// Targets behind an HTTP client: each runs a bounded number of requests for a while and answers.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "ports/http.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::daemon_fakes
{

struct target
{
    int slots = 8;
    core::millis run_time{20};
    bool silent = false; ///< runs requests and never answers
    bool down = false;   ///< refuses connections
    int running = 0;
    int most_running = 0;
    /// The same without requests whose sender could not tell of them to a new owner since: dead, or
    /// with a lapse. Nobody reserves slots for these.
    int most_told = 0;
    std::vector<std::string> ran; ///< bodies of all requests, in the order of their start
    /// Senders of what runs now, each with its lapses at the start.
    std::vector<std::pair<const process*, int>> senders;
};

class targets
{
public:
    explicit targets(virtual_time& time);
    targets(const targets&) = delete;
    targets& operator=(const targets&) = delete;

    ports::http_client port(process& from);
    /// \return how often a request with that body was run, by all targets.
    int runs_of(const std::string& body) const;

    std::map<std::string, target> all; ///< by address

private:
    void serve(process& from, const ports::http_call& call, ports::call_id id);

    virtual_time& time_;
    ports::call_id last_ = 0;
    std::map<ports::call_id, std::function<void(ports::http_outcome)>> open_;
};

} // namespace camphorhitch::daemon_fakes
