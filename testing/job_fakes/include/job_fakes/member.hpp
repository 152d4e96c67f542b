/// \file
/// A member that owns the pool's jobs, or believes it does: drives decide_round between the store
/// and the workers.
#pragma once

#include "job_fakes/store.hpp"
#include "job_fakes/workers.hpp"
#include "jobs/round.hpp"
#include "jobs/submit.hpp"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::job_fakes
{

/// What every member sees of the pool beside its jobs.
struct world
{
    store kv;
    workers platform;
    model::pool_document hosts;
    std::vector<model::team_config> teams;
    std::map<std::string, jobs::quota_document> quotas; ///< by team
    bool wishes_unanswered = false; ///< wishes are stored and their answers lost
    std::map<std::string, core::millis> leaving_in;
    jobs::settings rules;
    core::mono_time now{core::millis{1'000'000}};
    /// Whether an order's answer is lost; the order may have been carried out or not.
    std::function<ports::platform_status(const ports::task_order&)> order_fault;
    std::function<bool(const jobs::command_tasks&)> command_lost; ///< empty: none is
    std::function<void(const jobs::action&)> on_action;           ///< to count
    std::function<void()> before_round;                           ///< to time the decision alone
    std::function<void()> after_round;
    int rounds_per_step = 6; ///< rounds that follow one another because something ended
    std::int64_t wall_base_ms = 1'700'000'000'000;
};

core::wall_time wall_now(const world& w);

struct member
{
    jobs::pool_jobs jobs;
    std::array<std::int64_t, jobs::buckets_per_pool> revisions{};
    std::array<std::int64_t, jobs::buckets_per_pool> tried{}; ///< revision of a write in doubt
    std::array<bool, jobs::buckets_per_pool> must_read{};
    core::mono_time polled{};
    bool again = false; ///< something ended that the next round may build upon
};

member make_member(const std::string& pool,
    std::uint64_t epoch,
    const std::string& incarnation,
    core::mono_time now);

/// Reads every document whose revision has moved, as a watch would tell.
void read_changes(member& m, world& w);

/// The same but for documents that carry a newer owner's mark, which this member's watch is late to
/// tell.
void read_changes_but_marks(member& m, world& w);

/// Reads the reports of every host.
void poll(member& m, world& w);

/// One round, its actions, and the writes that are due; again while something was stored.
void step(member& m, world& w);

/// The same with no command to tasks but orders: what a former owner could do at the very worst.
void step_starts_only(member& m, world& w);

/// Adds submissions as any member would.
/// \return outcomes in order; nothing where the write got no answer or was in conflict.
std::vector<std::optional<jobs::submit_outcome>> submit(
    world& w, const std::vector<jobs::submission>& all);

/// Cancels as any member would, with one write for each document.
void cancel(world& w, const std::vector<std::string>& ids);

const jobs::job* stored_job(const world& w, const std::string& id);

} // namespace camphorhitch::job_fakes
