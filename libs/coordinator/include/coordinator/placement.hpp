/// \file
/// Decides which task starts on which host, and which runs are stopped.
#pragma once

#include "coordinator/advice.hpp"
#include "coordinator/fleet.hpp"

#include <functional>
#include <limits>

namespace camphorhitch::coordinator
{

/// A start order to be sent to a runner.
struct start_action
{
    ports::runner_ref host;
    workflow::task_name task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< ticket of the platform's advice service, or empty
};

/// A stop order to be sent to a runner.
struct stop_action
{
    ports::runner_ref host;
    workflow::task_name task;
    std::int64_t run = 0;
};

/// The orders and requests that were decided together.
struct plan
{
    std::vector<start_action> starts;
    std::vector<stop_action> stops;
    std::vector<advice_request> advice_requests;
    int remaining_orders = 0; ///< orders that may still be added
    bool truncated = false;   ///< some orders that are due were left out because of the bound
};

/// Decides all orders that are due, and records them in \p f as sent.
/// \param unix_ms wall time in milliseconds, for scheduled jobs and the age of jobs
/// \param may_start false: only stops are decided, because starts could not be recorded
/// \param max_orders bound of the decided orders; the others stay waiting for a later plan. A gang
/// is not divided.
plan make_plan(fleet& f,
    core::mono_time now,
    std::int64_t unix_ms,
    bool may_start,
    task_events& out,
    int max_orders = std::numeric_limits<int>::max());

/// Marks a run as stopping; the next plan orders the stop. The task may start again once the end of
/// the run is certain.
void request_stop(fleet& f,
    const workflow::task_name& task,
    std::int64_t run,
    core::mono_time now,
    const std::string& reason,
    task_events& out);

/// \return number of tasks of the same step, without \p task itself, that are not confirmed as
/// working on a reachable host.
int other_unavailable_tasks(const fleet& f, const job_entry& j, const workflow::task_name& task);

/// \return whether another host than \p excluded_host may run the task now.
bool can_run_elsewhere(const fleet& f,
    const job_entry& j,
    const workflow::task_name& task,
    const std::string& excluded_host,
    core::mono_time now);

/// \return by queue, the number of accepted jobs of which no task has started; scheduled jobs are
/// not counted.
std::map<std::string, int> pending_jobs(const fleet& f);

} // namespace camphorhitch::coordinator
