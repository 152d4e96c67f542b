/// \file
/// Port to runners: the processes on hosts that run tasks under a lease, for the holder of the
/// highest fencing token that they have seen.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

/// One life of a runner and where to reach it. After a restart it has another id.
struct runner_ref
{
    std::string id;
    std::string address; ///< "ip:port"; another runner may have it after this one
    std::string zone;    ///< its availability zone; empty: not known

    bool operator==(const runner_ref&) const = default;
};

/// How a call to a runner ended.
enum class runner_verdict
{
    done,
    fenced,     ///< the runner has seen a higher fencing token
    superseded, ///< an equal or higher run of the task was stopped or ended there
    lease_over, ///< the lease that came with the order had ended on arrival
    no_room,    ///< does not fit beside what runs there
    bad_ticket, ///< the ticket is missing or has expired
    unhealthy,  ///< did nothing, may do it later
    malformed,  ///< the runner does not understand the call
    other_life, ///< another runner answers there; the one that was meant has ended
    not_sent,   ///< no byte left this process
    unknown     ///< may have been carried out, or may be seconds later
};

inline constexpr core::name_table<runner_verdict, 11> runner_verdict_names{{
    {runner_verdict::done, "done"},
    {runner_verdict::fenced, "fenced"},
    {runner_verdict::superseded, "superseded"},
    {runner_verdict::lease_over, "lease_over"},
    {runner_verdict::no_room, "no_room"},
    {runner_verdict::bad_ticket, "bad_ticket"},
    {runner_verdict::unhealthy, "unhealthy"},
    {runner_verdict::malformed, "malformed"},
    {runner_verdict::other_life, "other_life"},
    {runner_verdict::not_sent, "not_sent"},
    {runner_verdict::unknown, "unknown"},
}};

struct runner_answer
{
    runner_verdict verdict = runner_verdict::unknown;
    std::int64_t clock_ms = -1; ///< the runner's clock, -1 when it did not tell
};

struct start_order
{
    std::string task;
    std::int64_t run = 0;
    std::string payload;
    std::int64_t lease_until_ms = 0; ///< on the runner's clock, for all that runs there
    std::int64_t fencing_token = 0;
    std::string checkpoint; ///< to go on from, or empty
    std::string ticket;     ///< of the advice service, or empty
};

struct stop_order
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t fencing_token = 0;
};

struct pace_order
{
    std::string task;
    std::int64_t run = 0;
    int percent = 100; ///< share of the time that the task may work
    std::int64_t fencing_token = 0;
};

/// Extends the lease of all that runs there, acknowledges ends, and looks.
struct poll_order
{
    std::int64_t lease_until_ms = 0; ///< on the runner's clock; 0: does not extend
    std::int64_t fencing_token = 0;
    std::int64_t acknowledged_through = 0;
    core::millis wait{0}; ///< for an end, when none is there
    /// This node makes the call itself: a relay may be what is late.
    bool direct = false;
};

enum class run_end
{
    done,
    failed,
    stopped,
    lease_lapsed,
    member_ended,  ///< another member of its gang ended
    members_absent ///< the other members of its gang did not come
};

inline constexpr core::name_table<run_end, 6> run_end_names{{
    {run_end::done, "done"},
    {run_end::failed, "failed"},
    {run_end::stopped, "stopped"},
    {run_end::lease_lapsed, "lease_lapsed"},
    {run_end::member_ended, "member_ended"},
    {run_end::members_absent, "members_absent"},
}};

struct reported_run
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0;         ///< of its work done; 100 for a long-running task that serves
    std::int64_t figure = 0; ///< tail latency in ms of a serving task; else cpu in use
};

struct reported_end
{
    std::int64_t number = 0; ///< rises within one life of the runner
    std::string task;
    std::int64_t run = 0;
    run_end how = run_end::stopped;
    std::string checkpoint;
};

struct poll_answer
{
    runner_answer call;
    std::vector<reported_run> running;
    std::vector<reported_end> ended; ///< not acknowledged yet
    /// More ends may wait than are listed: a run that is in neither list may have ended.
    bool ends_left_out = false;
};

struct runners
{
    std::function<void(runner_ref, start_order, std::function<void(runner_answer)>)> start;
    std::function<void(runner_ref, stop_order, std::function<void(runner_answer)>)> stop;
    std::function<void(runner_ref, pace_order, std::function<void(runner_answer)>)> pace;
    std::function<void(runner_ref, poll_order, std::function<void(poll_answer)>)> poll;
};

} // namespace camphorhitch::ports
