/// \file
/// One term of this node as the coordinator: the fleet's state and what the parts of the driver
/// share. The parts' callbacks hold the term by a weak pointer, so an answer that arrives after the
/// term's end changes nothing.
#pragma once

#include "coordinator/fleet.hpp"
#include "coordinator/waves.hpp"
#include "hosted/context.hpp"
#include "hosted/fleet_driver.hpp"
#include "hosted/formats.hpp"
#include "hosted/leadership.hpp"
#include "load_report.hpp"
#include "log_rate_limiter.hpp"

#include <functional>
#include <memory>

namespace camphorhitch::hosted
{

struct term : std::enable_shared_from_this<term>
{
    context ctx;
    const formats* text_formats = nullptr;
    driver_settings settings;
    leadership* lead = nullptr;
    ports::revision token = 0;
    coordinator::fleet fleet;
    log_rate_limiter log_limiter;
    load_report load;
    std::function<void()> request_plan; ///< schedules a plan within driver_settings::plan_delay
    std::function<void()> request_store_write;           ///< schedules a write of changed progress
    std::function<core::mono_time()> last_job_answer_at; ///< as job_reader::last_job_answer_at
    /// Brings the record of the host up to date, after it was unresponsive and has answered again.
    std::function<void(const std::string& host)> update_runner_record;
    /// Called for each job that is read; it was accepted \p at, which may lie before this term.
    std::function<void(const workflow::job&, core::mono_time at)> on_job_accepted;

    core::mono_time now() const
    {
        return ctx.time.now();
    }

    /// Logs the events, subject to the log rate limit, and counts each of them in a metric.
    void log(const coordinator::task_events& all);
    void log(ports::log_level level, std::string event, ports::log_fields fields);

    /// Counts a start order that is sent \p at, and records how long its task had been ready.
    void record_start(const workflow::task_name& task, std::int64_t run, core::mono_time at);

    /// From now on, records each write of this term that proves the leadership, as a source of
    /// higher fencing tokens.
    void record_own_writes();

    /// Records the time from a job's acceptance until this node read it.
    void record_job_read(core::micros duration);

    /// Records that the write which has just succeeded stored all run ends that it covered.
    void record_ends_stored();

    /// \param until_ms end of the lease on the runner's clock; 0: none is granted
    /// \return a poll of the host that grants this lease and acknowledges the run ends that are
    /// stored. The lease counts as granted from now on, even if the poll is never answered.
    ports::poll_order grant_lease(coordinator::host_entry& h, std::int64_t until_ms) const;

    /// Removes the hosts whose leases have expired from the fleet. A log line is written for each
    /// of them that had runs, regardless of the rate limit: the line shows whether the host did not
    /// answer or this node was late.
    void expire_hosts(coordinator::task_events& out);

    /// Ends the term because \p who (a runner, the machine service or the store) has refused this
    /// coordinator's fencing token.
    void step_down_fenced(const std::string& who);

    /// Evaluates the answer to a write that required the leader key to be of this term, and ends
    /// the term if it is not. Lease renewals do not reveal that the store has removed the key, and
    /// watches may reveal it late.
    /// \return whether the lead is lost.
    bool lost_leadership(const ports::commit_result& result);

    /// Ends the term in a later iteration of the event loop, outside the callbacks of its parts,
    /// unless it has ended by then. The posted call does not keep the term alive: calls in flight
    /// are answered when the term ends, and guarded callbacks would run on destroyed parts.
    void schedule_end(std::function<void(leadership&)> how);

    /// \return a callback that calls \p fn, and does nothing after the term's end.
    template <class Fn>
    auto guarded(Fn fn)
    {
        return [weak = weak_from_this(), fn](auto... args)
        {
            if (const auto self = weak.lock())
            {
                fn(std::move(args)...);
            }
        };
    }
};

} // namespace camphorhitch::hosted
