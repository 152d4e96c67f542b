/// \file
/// Jobs of many steps: what a caller submits, and what the system knows of its progress.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::workflow
{

/// Room on a host, or what a task takes of it.
struct resources
{
    std::int64_t cpu = 0;       ///< thousandths of a core
    std::int64_t memory_mb = 0; ///< megabytes
    std::int64_t gpus = 0;

    friend bool operator==(const resources&, const resources&) = default;
};

/// Tasks that are alike, and when and where they may run.
struct step
{
    int tasks = 1;
    resources need;              ///< of each task
    core::millis estimate{0};    ///< rough declared run time of a task
    std::vector<int> after;      ///< earlier steps that must be done first
    bool gang = false;           ///< the tasks work only all together
    bool one_rack = false;       ///< a gang that is slower on several racks
    bool checkpoints = false;    ///< progress survives a stop
    bool speculative = false;    ///< copies may run side by side; the first end counts
    bool long_running = false;   ///< runs until the job is cancelled
    bool fills = false;          ///< takes the processor time that others leave unused
    std::string required_label;  ///< that a host must have; empty: any
    std::string near_rack;       ///< where the data is; empty: anywhere
    int most_per_host = 0;       ///< of this step's tasks; 0: no bound
    std::string image;           ///< what the tasks run; tasks of one image behave alike
    core::millis tail_target{0}; ///< bound on a serving task's tail latency; 0: serves nobody
    int may_be_away =
        0; ///< tasks of a long-running step that we may take away at once; 0: no bound
};

/// Occurrences of a scheduled job; a job without a schedule has one, due at once.
struct schedule
{
    int occurrences = 0;            ///< 0: not scheduled
    std::int64_t first_unix_ms = 0; ///< when occurrence 0 is due
    std::int64_t interval_ms = 0;   ///< between occurrences
};

/// A job as it was accepted. Never changes afterwards.
struct job
{
    std::string id;
    std::string queue;   ///< name of the queue that it came by
    std::string pool;    ///< whose hosts run it
    std::string payload; ///< handed to each task byte for byte
    std::vector<step> steps;
    schedule timing;
    std::int64_t accepted_unix_ms = 0;
    int priority = 0;      ///< 0 is the most urgent
    int most_attempts = 1; ///< failed runs of a task after which the job fails
    double stretch = 1;    ///< objective: this many times its longest chain of work
    core::millis slack{0}; ///< added to the objective
    bool advised = false;  ///< only the platform's advice knows which hosts may run it
};

inline bool is_scheduled(const job& j)
{
    return j.timing.occurrences > 0;
}

inline int occurrences_of(const job& j)
{
    return is_scheduled(j) ? j.timing.occurrences : 1;
}

enum class job_state
{
    queued,
    running,
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

inline bool is_final(job_state s)
{
    return s == job_state::completed || s == job_state::failed || s == job_state::cancelled;
}

/// Names one task of a job.
struct task_name
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend bool operator==(const task_name&, const task_name&) = default;
};

/// A run that went with its runner's life, or may have.
struct lost_run
{
    std::int64_t run = 0;
    std::string host;     ///< id of the runner's life; empty: it may have started, or never did
    std::string machine;  ///< whose life it was, until certain; empty: not known
    bool ran = false;     ///< the runner had confirmed the run
    bool certain = false; ///< the runner's life has ended by itself, with the run on it
    bool sole = false;    ///< no other task that is suspected ran there

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

/// task_progress::lost_runs has no more; long before that the task starts no more.
inline constexpr std::size_t most_lost_runs = 8;

/// What must outlive the process about one task.
struct task_progress
{
    bool done = false;
    /// Runs that ended failed, each once. Their reports may come again, to another owner too, and
    /// in any order, since they lie on several runners: a highest number would not tell.
    std::vector<std::int64_t> failed_runs;
    std::string checkpoint;          ///< newest known, or empty
    std::vector<lost_run> lost_runs; ///< by the order in which they were noted
};

/// What must outlive the process about a job. Shown to callers only once it is stored.
struct job_progress
{
    job_state state = job_state::queued;
    std::int64_t ended_unix_ms = 0; ///< when it became final; 0: it is not, or nobody knows
    /// By occurrence, step and index, in this order; empty while nothing is known.
    std::vector<task_progress> tasks;
};

/// \return how many tasks one occurrence has.
std::size_t tasks_per_occurrence(const job& j);

/// \return the place of a task in job_progress::tasks; the name must be one of the job's.
std::size_t task_place(const job& j, int occurrence, int step, int index);

/// \return the name of the task at a place of job_progress::tasks.
task_name name_of_task(const job& j, std::size_t place);

/// \return whether the name is one of the job's tasks.
bool has_task(const job& j, const task_name& name);

/// \return the longest chain of estimated run times through the steps.
core::millis longest_chain(const std::vector<step>& steps);

} // namespace camphorhitch::workflow
