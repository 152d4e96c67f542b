/// \file
/// Which task starts where, and which run has to be stopped.
#pragma once

#include "coordinator/advice.hpp"
#include "coordinator/fleet.hpp"

#include <functional>
#include <limits>

namespace camphorhitch::coordinator
{

struct start_action
{
    ports::runner_ref host;
    workflow::task_name task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< of the platform's advice, or empty
};

struct stop_action
{
    ports::runner_ref host;
    workflow::task_name task;
    std::int64_t run = 0;
};

struct plan
{
    std::vector<start_action> starts;
    std::vector<stop_action> stops;
    std::vector<ask_action> asks;
    int room = 0;     ///< orders that may still join
    bool cut = false; ///< more was due than there was room for
};

/// Decides all orders that are due, and notes them in \p f as sent.
/// \param unix_ms wall time, for scheduled jobs and the age of jobs
/// \param may_start false: only stops (nothing that starts could be recorded)
/// \param most_orders that are decided; the rest waits as before, for a later plan. A gang is not
/// divided.
plan make_plan(fleet& f,
    core::mono_time now,
    std::int64_t unix_ms,
    bool may_start,
    task_events& out,
    int most_orders = std::numeric_limits<int>::max());

/// Wants a run stopped; the next plan orders it. The task may start again once its end is certain.
void want_stop(fleet& f,
    const workflow::task_name& task,
    std::int64_t run,
    core::mono_time now,
    const std::string& reason,
    task_events& out);

/// \return tasks of the same step that are not at work, or not known to be, without \p task itself.
int others_away(const fleet& f, const job_entry& j, const workflow::task_name& task);

/// \return whether another host than \p but may run the task now.
bool has_place_elsewhere(const fleet& f,
    const job_entry& j,
    const workflow::task_name& task,
    const std::string& but,
    core::mono_time now);

/// \return the number of accepted jobs by queue of which no task has started, scheduled ones left
/// out.
std::map<std::string, int> pending_jobs(const fleet& f);

} // namespace camphorhitch::coordinator
