/// \file
/// One target: a port with slots, a service time and faults.
#pragma once

#include "core/time.hpp"
#include "run_log.hpp"
#include "standin_support/json.hpp"
#include "standin_support/program.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace camphorhitch::standin_target
{

/// Faults of a target. Each share, 0 to 1, is the probability of the fault for a request.
struct target_faults
{
    double hang = 0;     ///< share of requests that run and are never answered
    double fail = 0;     ///< share of requests answered at once with 500
    double truncate = 0; ///< share of answers whose connection closes after half of the body
    double oversize = 0; ///< share of answers padded to oversize_bytes
    double malform = 0;  ///< share of answers that are not HTTP
    double cut = 0;      ///< share of requests that run and whose connection closes unanswered
    std::int64_t oversize_bytes = 9 << 20;
    core::millis slow{0}; ///< added to each service time
};

/// Counts of a target's requests.
struct target_counts
{
    std::uint64_t runs = 0;
    std::uint64_t keyed_runs = 0; ///< runs of requests with an Idempotency-Key
    std::uint64_t duplicates = 0; ///< keyed runs after the first run of their key
    std::uint64_t repeats = 0;    ///< runs without a key after the first of their Request-Id
    std::uint64_t failures = 0;   ///< requests answered with 500 by the fault
    std::uint64_t overloads = 0;  ///< requests that started while all slots were in use
    std::uint64_t abandoned = 0;  ///< requests whose caller closed its connection before the answer
    std::uint64_t cut_off = 0;    ///< requests in flight when the target went down
    std::uint64_t cut_off_planned = 0; ///< the part of cut_off that planned stops caused
    std::uint64_t swallowed = 0;       ///< answers lost on silent connections
    int running = 0;
    int max_running = 0;
    std::int64_t last_request_ms = 0; ///< milliseconds since 1970
};

/// Settings of a target.
struct target_settings
{
    std::string host;
    std::uint16_t port = 0;
    int slots = 8;
    /// Whether requests that start beyond the slots take longer, in proportion to the excess.
    bool crowding = false;
    core::millis delay{5}; ///< service time of requests that do not give one
};

/// A target on its port.
class target
{
public:
    target(standin_support::standin& s, run_log& log, target_settings settings);
    target(const target&) = delete;
    target& operator=(const target&) = delete;

    const std::string& host() const
    {
        return settings_.host;
    }

    std::uint16_t port() const
    {
        return port_->port();
    }

    /// Reads and applies the target's members of a control command.
    void control(standin_support::object_reader& command);

    /// \return the counts for /control/stats.
    nlohmann::json stats() const;

private:
    /// A request in service.
    struct service
    {
        standin_support::exchange_ptr pending;
        std::string id;
    };

    void on_request(const standin_support::exchange_ptr& pending);
    void count_run(const ports::http_request& r, const std::string& id);
    void finish(std::uint64_t number);
    void answer(const service& done);
    void go_down(bool planned);
    void go_up();

    standin_support::standin& standin_;
    run_log& run_log_;
    target_settings settings_;
    target_faults faults_;
    target_counts counts_;
    standin_support::random_source random_;
    standin_support::listener* port_ = nullptr;
    std::map<std::uint64_t, service> services_;
    std::uint64_t last_service_ = 0;
    bool down_ = false;
};

} // namespace camphorhitch::standin_target
