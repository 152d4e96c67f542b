/// \file
/// A member that owns the pool's jobs, or still assumes so after it has lost them. It runs
/// decide_round between the store and the workers.
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

/// The environment of one pool's members: store, workers, hosts, teams and settings.
struct pool_environment
{
    store kv;
    workers platform;
    model::pool_document hosts;
    std::vector<model::team_config> teams;
    std::map<std::string, jobs::quota_document> quotas; ///< by team
    /// Whether quota requests are stored and their answers lost.
    bool quota_requests_unanswered = false;
    std::map<std::string, core::millis> leaving_in; ///< time until a host leaves, by host
    jobs::settings rules;
    core::mono_time now{core::millis{1'000'000}};
    /// Replaces the execution of an order and returns the answer; empty: orders are executed.
    std::function<ports::platform_status(const ports::task_order&)> order_fault;
    /// \return whether a command is lost; empty: no command is lost.
    std::function<bool(const jobs::command_tasks&)> command_lost;
    std::function<void(const jobs::action&)> on_action; ///< called with each action, for counts
    std::function<void()> before_round; ///< with after_round, for timing the decision alone
    std::function<void()> after_round;
    int rounds_per_step = 6; ///< bound of consecutive rounds, each of which allows the next
    std::int64_t wall_base_ms = 1'700'000'000'000; ///< wall time at monotonic time 0
};

/// \return the wall time.
core::wall_time wall_now(const pool_environment& env);

/// One member's state.
struct member
{
    jobs::pool_jobs jobs;
    std::array<std::int64_t, jobs::buckets_per_pool> revisions{}; ///< last read, by bucket
    /// Revision before a write whose result is unknown, by bucket.
    std::array<std::int64_t, jobs::buckets_per_pool> uncertain_revisions{};
    std::array<bool, jobs::buckets_per_pool> must_read{};
    core::mono_time polled{};  ///< time of the last poll
    bool repeat_round = false; ///< whether a stored result allows another round in the same step
};

/// \return a member that has read nothing yet.
member make_member(const std::string& pool,
    std::uint64_t epoch,
    const std::string& incarnation,
    core::mono_time now);

/// Reads every document whose revision has changed, as the events of a watch cause it.
void read_changes(member& m, pool_environment& env);

/// Like read_changes(), except documents with the marker of a newer owner: the member's watch has
/// not delivered these yet.
void read_changes_except_newer_owner(member& m, pool_environment& env);

/// Reads the reports of every host.
void poll(member& m, pool_environment& env);

/// Runs a round, its actions and the writes that are due, and repeats this while a write was
/// stored.
void step(member& m, pool_environment& env);

/// Like step(), but of the actions only start orders are executed: the worst that a previous owner
/// can do.
void step_starts_only(member& m, pool_environment& env);

/// Adds submissions as any member does.
/// \return the outcomes in order; no outcome where the write was not answered or was in conflict.
std::vector<std::optional<jobs::submit_outcome>> submit(
    pool_environment& env, const std::vector<jobs::submission>& all);

/// Cancels jobs as any member does, with one write for each document.
void cancel(pool_environment& env, const std::vector<std::string>& ids);

/// \return the stored job, or nullptr.
const jobs::job* stored_job(const pool_environment& env, const std::string& id);

} // namespace camphorhitch::job_fakes
