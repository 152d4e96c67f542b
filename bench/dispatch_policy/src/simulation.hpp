/// \file
/// Virtual time, targets with slots, and the callers' load: what all policies are measured on.
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

/// Events in order of time; equal times in order of their making.
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

/// What a target made of a request.
struct target_result
{
    int status = 200;
};

/// A target runs as many requests at once as it has slots; the others wait in its own queue.
class target
{
public:
    target(event_queue& events, int slots);
    /// \param on_end called at the target's time when the request has run.
    void submit(core::micros service, std::function<void(target_result)> on_end);
    void fail_all();
    int most_at_once() const;
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
    int most_ = 0;
    bool failing_ = false;
    std::deque<job> queue_;
};

struct load_settings
{
    int targets = 10;
    int slots = 8;
    int senders = 9;
    int zones = 3;
    core::micros message_delay{1000};   ///< one way, between any two hosts
    core::micros quick_service{20000};  ///< mean
    core::micros long_service{1000000}; ///< mean
    core::millis quick_deadline{2000};
    core::millis long_deadline{30000};
    double quick_work = 0.5; ///< share of the offered work that is quick
    double idempotent = 0.8; ///< share of the requests
    double load = 0.7;       ///< offered work over the targets' slots
    core::millis warm_up{20000};
    core::millis measured{60000};
    int failing_targets = 0;
    double silent_share = 0; ///< of the sends on used connections, which are swallowed
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

enum class ending
{
    answered,
    failed,  ///< the target's failure was passed on, or the fate is not known
    refused, ///< not run
};

struct class_result
{
    std::uint64_t offered = 0;  ///< that ended in the time measured
    std::uint64_t answered = 0; ///< in time
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::vector<std::int64_t> latencies_us; ///< of those answered
    double useful_work_us = 0;
};

struct run_result
{
    std::string policy;
    double load = 0;
    class_result quick;
    class_result long_running;
    int most_at_once = 0;
    std::uint64_t sends = 0;
    std::uint64_t sends_to_failing = 0;
    double useful_share = 0; ///< useful work over the targets' slots
};

/// What a policy sees: the world, and where to tell how a request ended.
struct world
{
    load_settings settings;
    event_queue events;
    std::vector<target> targets;
    run_result result;

    explicit world(const load_settings& from);
    void ended(const offered& request, ending how);
    void count_send(int target_index);
    /// \return whether a send is swallowed by a connection that has gone silent.
    bool is_swallowed(bool fresh_connection);

private:
    std::mt19937_64 silence_; ///< apart from the load's randomness, which is the same for all
};

/// Offers the load to \p policy and returns what was measured.
using submit = std::function<void(const offered&)>;
run_result offer_load(world& w, const std::string& name, const submit& policy);

/// \return the \p share quantile in microseconds; 0 without values.
std::int64_t quantile(std::vector<std::int64_t> values, double share);

} // namespace camphorhitch::bench
