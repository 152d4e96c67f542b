/// \file
/// Jobs of several steps: what a caller submits, and what is recorded of their progress.
///
/// A job consists of steps, a step of equal tasks, and each start of a task on a runner is a run.
/// A scheduled job executes all its steps once in each occurrence.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::workflow
{

/// Capacity of a host, or the part of it that a task requires.
struct resources
{
    std::int64_t cpu = 0;       ///< thousandths of a core
    std::int64_t memory_mb = 0; ///< megabytes
    std::int64_t gpus = 0;

    friend bool operator==(const resources&, const resources&) = default;

    resources& operator+=(const resources& it)
    {
        cpu += it.cpu;
        memory_mb += it.memory_mb;
        gpus += it.gpus;
        return *this;
    }

    resources& operator-=(const resources& it)
    {
        cpu -= it.cpu;
        memory_mb -= it.memory_mb;
        gpus -= it.gpus;
        return *this;
    }

    /// \return the resources of \p tasks tasks that require \p each.
    friend resources operator*(const resources& each, std::int64_t tasks)
    {
        return {each.cpu * tasks, each.memory_mb * tasks, each.gpus * tasks};
    }
};

/// Equal tasks, with the conditions for when and where they may run.
struct step
{
    int tasks = 1;                       ///< number of tasks
    resources need;                      ///< required by each task
    core::millis estimated_run_time{0};  ///< of one task, as declared; a rough estimate
    std::vector<int> depends_on;         ///< indices of earlier steps that must be done first
    bool gang = false;                   ///< the tasks make progress only while all of them run
    bool prefers_one_rack = false;       ///< a gang that is slower when spread over several racks
    bool checkpoints = false;            ///< progress survives a stop
    bool speculative = false;            ///< a task may run in several copies; the first end counts
    bool long_running = false;           ///< runs until the job is cancelled
    bool best_effort = false;            ///< uses only processor time that other tasks leave unused
    std::string required_label;          ///< label that a host must have; empty: any host
    std::string preferred_rack;          ///< rack that holds the data; empty: no preference
    int max_per_host = 0;                ///< tasks of this step on one host; 0: unbounded
    std::string image;                   ///< program of the tasks; equal images behave alike
    core::millis tail_latency_target{0}; ///< bound for a serving task; 0: the task does not serve
    /// Tasks of a long-running step that the coordinator may keep stopped at the same time; 0:
    /// unbounded.
    int max_unavailable = 0;
};

/// Occurrences of a scheduled job; a job without a schedule has one, which is due at once.
struct schedule
{
    int occurrences = 0;            ///< 0: not scheduled
    std::int64_t first_unix_ms = 0; ///< when occurrence 0 is due, in milliseconds since 1970
    std::int64_t interval_ms = 0;   ///< from one occurrence to the next
};

/// A job as it was accepted. It never changes afterwards.
struct job
{
    std::string id;
    std::string queue; ///< name of the queue to which it was submitted
    std::string pool;  ///< pool whose hosts run it
    /// Workspace whose caller submitted it; empty: its queue is open to all callers.
    std::string workspace;
    /// Availability zone of the node that accepted it; empty: unknown.
    std::string zone;
    std::string payload; ///< handed to each task byte for byte
    std::vector<step> steps;
    schedule timing;
    std::int64_t accepted_unix_ms = 0; ///< wall time of acceptance, milliseconds since 1970
    int priority = 0;                  ///< 0 is the most urgent
    int max_attempts = 1;              ///< number of failed runs of a task at which the job fails
    double stretch = 1;        ///< the objective is the critical path times this, plus slack
    core::millis slack{0};     ///< see stretch
    bool needs_advice = false; ///< which hosts may run it is known to the platform's advice only
};

inline bool is_scheduled(const job& j)
{
    return j.timing.occurrences > 0;
}

/// \return the number of occurrences, 1 for a job that is not scheduled.
inline int occurrence_count(const job& j)
{
    return is_scheduled(j) ? j.timing.occurrences : 1;
}

enum class job_state
{
    queued,  ///< no runner has reported a run yet
    running, ///< a runner has reported a run or its end
    completed,
    failed,
    cancelled
};

inline constexpr core::name_table<job_state, 5> job_state_names{{
    {job_state::queued, "queued"},
    {job_state::running, "running"},
    {job_state::completed, "completed"},
    {job_state::failed, "failed"},
    {job_state::cancelled, "cancelled"},
}};

/// \return whether the state never changes again.
inline bool is_final(job_state s)
{
    return s == job_state::completed || s == job_state::failed || s == job_state::cancelled;
}

/// Identifies one task of a job.
struct task_name
{
    std::string job; ///< id of the job
    int occurrence = 0;
    int step = 0;  ///< index in job::steps
    int index = 0; ///< index among the tasks of the step

    friend bool operator==(const task_name&, const task_name&) = default;
};

/// A run that ended, or may have ended, because its runner ended.
struct lost_run
{
    std::int64_t run = 0; ///< run number
    std::string host;     ///< id of the runner; empty: unknown, and the run may never have started
    std::string machine;  ///< machine of the runner, until the loss is certain; empty: unknown
    bool confirmed = false;    ///< the runner had confirmed the run
    bool certain = false;      ///< the runner has ended without an order, together with the run
    bool only_suspect = false; ///< no other suspected task was on that runner
    /// The runner reported the run as active for some time, so it was not the start that ended it.
    bool survived_start = false;

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

/// Bound on a run number. Runners read JSON numbers, which are exact only up to this value.
inline constexpr std::int64_t max_run_number = std::int64_t{1} << 53;

/// Bound on the size of task_progress::lost_runs, which keeps the newest ones.
inline constexpr std::size_t max_lost_runs = 8;

/// What is stored about one task.
struct task_progress
{
    bool done = false;
    /// Numbers of the runs that failed, without duplicates. Runners may report a failed run again,
    /// also to another coordinator, and in any order, since the reports come from several runners.
    /// The highest number alone would therefore not show which of them were counted.
    std::vector<std::int64_t> failed_runs;
    std::string checkpoint; ///< newest known checkpoint; empty: none
    /// Of a member of a gang: number of the run that reported the checkpoint; 0: unknown.
    std::int64_t checkpoint_run = 0;
    std::vector<lost_run> lost_runs; ///< in the order in which they were recorded
};

/// What is stored about a job. Callers see a state only once it is stored.
struct job_progress
{
    job_state state = job_state::queued;
    std::int64_t ended_unix_ms =
        0; ///< wall time at which it became final; 0: not final, or unknown
    /// Of a final job: required by its runs that may still be active.
    resources held;
    /// By occurrence, step and index, in this order; empty while nothing is known.
    std::vector<task_progress> tasks;
};

/// \return the number of tasks of one occurrence.
std::size_t tasks_per_occurrence(const job& j);

/// \return the index of a task in job_progress::tasks. The task must be one of the job's.
std::size_t task_index(const job& j, int occurrence, int step, int index);

/// \return the name of the task at \p index of job_progress::tasks.
task_name name_of_task(const job& j, std::size_t index);

/// \return whether the name is one of the job's tasks.
bool has_task(const job& j, const task_name& name);

/// \return the largest sum of estimated run times along the dependencies of the steps.
core::millis critical_path(const std::vector<step>& steps);

} // namespace camphorhitch::workflow
