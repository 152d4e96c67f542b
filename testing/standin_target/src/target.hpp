/// \file
/// One target: a port with slots, a service time, and faults.
#pragma once

#include "core/time.hpp"
#include "run_ledger.hpp"
#include "standin_support/json.hpp"
#include "standin_support/program.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace camphorhitch::standin_target
{

/// How a target misbehaves. Shares are of its requests, from 0 to 1.
struct target_faults
{
    double hang = 0;     ///< run, and never answered
    double fail = 0;     ///< answered at once by 500
    double truncate = 0; ///< the answer's connection closes after half of the body
    double oversize = 0; ///< the answer is padded to oversize_bytes
    double malform = 0;  ///< the answer isn't HTTP
    double cut = 0;      ///< run, and the connection closed without an answer
    std::int64_t oversize_bytes = 9 << 20;
    core::millis slow{0}; ///< added to each service time
};

struct target_counts
{
    std::uint64_t runs = 0;
    std::uint64_t keyed_runs = 0;      ///< of requests with an Idempotency-Key
    std::uint64_t duplicates = 0;      ///< of those, more than the first of their key
    std::uint64_t repeats = 0;         ///< without a key, more than the first of their Request-Id
    std::uint64_t failures = 0;        ///< answered by the fault 500
    std::uint64_t overloads = 0;       ///< began while all slots were taken
    std::uint64_t abandoned = 0;       ///< the caller went away before the answer
    std::uint64_t cut_off = 0;         ///< in flight when the target went down
    std::uint64_t cut_off_planned = 0; ///< of those, by a planned stop
    std::uint64_t swallowed = 0;       ///< answers lost in silent connections
    int running = 0;
    int most_running = 0;
    std::int64_t last_request_ms = 0; ///< milliseconds since 1970
};

struct target_settings
{
    std::string host;
    std::uint16_t port = 0;
    int slots = 8;
    bool crowding = false; ///< beyond its slots, all that begin take longer in proportion
    core::millis delay{5};
};

class target
{
public:
    target(standin_support::standin& s, run_ledger& ledger, target_settings settings);
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

    /// Takes the members of a control command that concern a target.
    void control(standin_support::object_reader& command);

    nlohmann::json stats() const;

private:
    /// A request that is being served.
    struct service
    {
        standin_support::exchange_ptr held;
        std::string id;
    };

    void on_request(const standin_support::exchange_ptr& held);
    void count_run(const ports::http_request& r, const std::string& id);
    void finish(std::uint64_t number);
    void answer(const service& done);
    void go_down(bool planned);
    void go_up();

    standin_support::standin& standin_;
    run_ledger& ledger_;
    target_settings settings_;
    target_faults faults_;
    target_counts counts_;
    standin_support::dice dice_;
    standin_support::listener* port_ = nullptr;
    std::map<std::uint64_t, service> services_;
    std::uint64_t last_service_ = 0;
    bool down_ = false;
};

} // namespace camphorhitch::standin_target
