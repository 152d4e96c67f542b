/// \file
/// One term of coordination: the fleet as this owner sees it, and what its parts share. Parts hold
/// it weakly in their callbacks, so an answer that comes after the term's end changes nothing.
#pragma once

#include "coordinator/fleet.hpp"
#include "coordinator/waves.hpp"
#include "hosted/context.hpp"
#include "hosted/fleet_driver.hpp"
#include "hosted/formats.hpp"
#include "hosted/leadership.hpp"
#include "line_budget.hpp"
#include "load_report.hpp"

#include <functional>
#include <memory>

namespace camphorhitch::hosted
{

struct term : std::enable_shared_from_this<term>
{
    context ctx;
    const formats* spelling = nullptr;
    driver_settings settings;
    leadership* lead = nullptr;
    ports::revision token = 0;
    coordinator::fleet fleet;
    line_budget lines;
    load_report load;
    std::function<void()> wake;                  ///< plan soon
    std::function<void()> store_soon;            ///< progress has changed
    std::function<core::mono_time()> jobs_heard; ///< as job_reader::last_job_answer_at
    std::function<void()> record_hosts;          ///< a runner has answered after a silence
    /// A job was accepted \p at, perhaps before this term.
    std::function<void(const workflow::job&, core::mono_time at)> on_job;

    core::mono_time now() const
    {
        return ctx.time.now();
    }

    /// Logs what was decided or learnt, within the budget of lines.
    void log(const coordinator::task_events& all);
    void log(ports::log_level level, std::string event, ports::log_fields fields);

    /// Counts a start that is sent, and how long its task could have been started before.
    void note_start(const workflow::task_name& task, std::int64_t run, core::mono_time at);

    /// A job was read here, so long after its acceptance.
    void note_read(core::micros took);

    /// All ends that the writing just done was to cover are stored.
    void note_stored();

    /// \return a poll of the host that grants a lease until then and acknowledges what is stored;
    /// the lease counts as granted from now on, also when the poll is never answered.
    ports::poll_order grant_lease(coordinator::host_entry& h, std::int64_t until_ms) const;

    /// Takes the leases that have ended from the fleet. Each host with runs has a line of its own,
    /// whatever else is logged: it tells whether the host was silent or this node late.
    void lapse_hosts(coordinator::task_events& out);

    /// Ownership is lost: a runner, the machines' service or a condition said so.
    void fenced_by(const std::string& who);

    /// Judges the answer to a write on the condition that the key is this owner's. Renewals don't
    /// tell that the store has taken the key away, and watches may tell it late.
    /// \return whether ownership is lost.
    bool lost_key(const ports::commit_result& result);

    /// Ends the term from outside of its parts' callbacks, unless it has ended before. The term is
    /// not held meanwhile: with the end, calls under way are answered, and guarded callbacks would
    /// run on parts that are gone.
    void leave(std::function<void(leadership&)> how);

    /// \return a callback that does nothing after the term's end.
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
