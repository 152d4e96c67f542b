/// \file
/// Port to runners: the processes on hosts that run tasks under a lease. A runner obeys the holder
/// of the highest fencing token that it has received.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"
#include "ports/incarnation.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

/// One incarnation of a runner and its address.
struct runner_ref
{
    std::string id;      ///< text of the incarnation, as write_incarnation() returns it
    std::string address; ///< "ip:port"; another runner may have it later
    std::string zone;    ///< availability zone; empty: unknown

    bool operator==(const runner_ref&) const = default;
};

/// How a call to a runner ended.
enum class runner_verdict
{
    done,
    fenced,     ///< the runner has received a higher fencing token
    superseded, ///< an equal or higher run of the task was stopped or ended on this runner
    lease_over, ///< the lease sent with the order had ended when the order arrived
    no_room,    ///< the runner's free capacity is too small for the task
    bad_ticket, ///< the ticket is missing or has expired
    unhealthy,  ///< the runner did nothing; a repeat may succeed later
    malformed,  ///< the runner could not parse the call
    other_life, ///< another incarnation answers there; the addressed one has lost its address
    not_sent,   ///< no byte of the call left this process
    unknown     ///< the call may have been carried out, or may be seconds later
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
    std::int64_t clock_ms = -1; ///< the runner's clock in milliseconds; -1: not in the answer
    std::int64_t born_ms = 0;   ///< incarnation::born_ms of the runner; 0: not in the answer
};

/// Starts a run of a task.
struct start_order
{
    std::string task;                ///< name of the task
    std::int64_t run = 0;            ///< run number
    std::string payload;             ///< opaque input of the task
    std::int64_t lease_until_ms = 0; ///< end of the lease of all runs there, on the runner's clock
    std::int64_t fencing_token = 0;
    std::string checkpoint; ///< checkpoint to resume from; empty: start from the beginning
    std::string ticket;     ///< of the advice service; empty: none
};

/// Stops a run. The runner then refuses to start this run of the task or an earlier one.
struct stop_order
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t fencing_token = 0;
};

/// Limits the processor time of a run.
struct throttle_order
{
    std::string task;
    std::int64_t run = 0;
    int cpu_percent = 100; ///< share of the time in which the task may run, 0 to 100
    std::int64_t fencing_token = 0;
};

/// Extends the lease of all runs on the runner, acknowledges ends, and asks for a report.
struct poll_order
{
    std::int64_t lease_until_ms = 0; ///< on the runner's clock; 0: the lease is not extended
    std::int64_t fencing_token = 0;
    std::int64_t acknowledged_through = 0; ///< reported ends up to this number are stored
    core::millis wait{0}; ///< how long the runner waits for an end when it has none to report
    /// This node sends the call itself, since a slow relay may be the cause of a missing answer.
    bool direct = false;
};

/// Why a run ended.
enum class run_end
{
    done,
    failed,
    stopped,
    lease_lapsed,  ///< the runner's lease expired
    member_ended,  ///< another member of its gang ended
    members_absent ///< the other members of its gang did not start in time
};

inline constexpr core::name_table<run_end, 6> run_end_names{{
    {run_end::done, "done"},
    {run_end::failed, "failed"},
    {run_end::stopped, "stopped"},
    {run_end::lease_lapsed, "lease_lapsed"},
    {run_end::member_ended, "member_ended"},
    {run_end::members_absent, "members_absent"},
}};

/// An active run, as its runner reports it.
struct reported_run
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;       ///< newest checkpoint; empty: none
    int progress_percent = 0;     ///< share of its work that is done; 100 for a task that serves
    std::int64_t load_metric = 0; ///< serving task: tail latency in ms; other tasks: cpu in use
};

/// The end of a run, as its runner reports it until the end is acknowledged.
struct reported_end
{
    std::int64_t number = 0; ///< increases within one incarnation of the runner
    std::string task;
    std::int64_t run = 0;
    run_end outcome = run_end::stopped;
    std::string checkpoint; ///< newest checkpoint; empty: none
};

struct poll_answer
{
    runner_answer call; ///< how the call ended; the other fields are valid only when it is done
    std::vector<reported_run> running;
    std::vector<reported_end> ended; ///< ends that are not acknowledged yet
    /// The runner may have more ends than it lists: a run that is in neither list may have ended.
    bool ends_truncated = false;
};

/// Calls to a runner. Each reports its answer through the callback.
struct runners
{
    std::function<void(runner_ref, start_order, std::function<void(runner_answer)>)> start;
    std::function<void(runner_ref, stop_order, std::function<void(runner_answer)>)> stop;
    std::function<void(runner_ref, throttle_order, std::function<void(runner_answer)>)> throttle;
    std::function<void(runner_ref, poll_order, std::function<void(poll_answer)>)> poll;
};

} // namespace camphorhitch::ports
