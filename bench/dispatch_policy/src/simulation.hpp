/// \file
/// The simulation on which all policies are measured: virtual time, targets with slots, and
/// callers' load.
#pragma once

#include "core/time.hpp"
#include "ports/peer.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// Events in the order of time; events of the same time in the order in which they were added.
class event_queue
{
public:
    void at(core::mono_time when, std::function<void()> fn);
    void after(core::micros delay, std::function<void()> fn);
    void run_until(core::mono_time end);
    core::mono_time now() const;

private:
    struct event
    {
        core::mono_time when;
        std::uint64_t number;
        std::function<void()> fn;
    };
    struct later
    {
        bool operator()(const event& a, const event& b) const;
    };
    std::priority_queue<event, std::vector<event>, later> events_;
    core::mono_time now_;
    std::uint64_t next_ = 0;
};

/// A target's answer to a request.
struct target_result
{
    int status = 200;
};

/// A target that runs as many requests at once as it has slots; further requests wait in its queue.
class target
{
public:
    target(event_queue& events, int slots);
    /// Runs or queues a request.
    /// \param on_end called when the request has run
    void submit(core::micros service, std::function<void(target_result)> on_end);
    void fail_all_requests();
    int max_at_once() const;
    int at_once() const;

private:
    struct job
    {
        core::micros service;
        std::function<void(target_result)> on_end;
    };
    void start(job it);
    event_queue& events_;
    int slots_;
    int running_ = 0;
    int max_at_once_ = 0;
    bool failing_ = false;
    std::deque<job> queue_;
};

/// Targets, senders and load.
struct load_settings
{
    int targets = 10;
    int slots = 8;
    int senders = 9;
    int zones = 3;
    core::micros message_delay{1000};   ///< one-way delay between any two hosts
    core::micros quick_service{20000};  ///< mean service time of a quick request
    core::micros long_service{1000000}; ///< mean service time of a long-running request
    core::millis quick_deadline{2000};
    core::millis long_deadline{30000};
    double quick_work = 0.5; ///< share of the offered work that is quick
    double idempotent = 0.8; ///< share of the requests that are idempotent
    double load = 0.7;       ///< offered work in relation to the targets' slots
    core::millis warm_up{20000};
    core::millis measured{60000};
    int failing_targets = 0;
    double lost_send_share = 0; ///< share of the sends on used connections that are lost
    std::uint64_t seed = 1;
};

/// One caller's request.
struct offered
{
    int sender = 0;
    ports::request_class klass = ports::request_class::quick;
    bool idempotent = true;
    core::micros service{0};
    core::millis deadline{0};
    core::mono_time arrived;
};

/// Result of a request for its caller.
enum class request_end
{
    answered,
    failed,  ///< the target's failure was forwarded, or it is unknown whether the request ran
    refused, ///< the request did not run
};

/// Measurements of one class of requests.
struct class_result
{
    std::uint64_t offered = 0;  ///< requests that ended in the measured time
    std::uint64_t answered = 0; ///< requests answered within their deadline
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::vector<std::int64_t> latencies_us; ///< latencies of the answered requests
    double useful_work_us = 0;
};

/// Measurements of one run.
struct run_result
{
    std::string policy;
    double load = 0;
    class_result quick;
    class_result long_running;
    int max_at_once = 0;
    std::uint64_t sends = 0;
    std::uint64_t sends_to_failing = 0;
    double useful_share = 0; ///< useful work in relation to the targets' slots
};

/// The simulation as a policy uses it, with the methods that record results.
struct simulation
{
    load_settings settings;
    event_queue events;
    std::vector<target> targets;
    run_result result;

    explicit simulation(const load_settings& from);
    void ended(const offered& request, request_end how);
    void count_send(int target_index);
    /// \return whether a send is lost on a connection that has stopped answering.
    bool is_lost(bool fresh_connection);

private:
    std::mt19937_64 loss_random_; ///< separate from the load's generator, so that all policies get
                                  ///< the same load
};

/// A policy's handler of new requests.
using submit = std::function<void(const offered&)>;

/// Offers the load to \p policy.
/// \return the measurements.
run_result offer_load(simulation& sim, const std::string& name, const submit& policy);

/// \return the \p share quantile in microseconds; 0 without values.
std::int64_t quantile(std::vector<std::int64_t> values, double share);

} // namespace camphorhitch::bench
