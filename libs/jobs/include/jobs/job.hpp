/// \file
/// A job, and the document that holds the jobs of one bucket of a pool.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"
#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::jobs
{

/// The class of a job, the most urgent one first.
enum class job_class : std::uint8_t
{
    urgent,
    quick,
    normal,
    long_running
};

inline constexpr core::name_table<job_class, 4> job_class_names{{
    {job_class::urgent, "urgent"},
    {job_class::quick, "quick"},
    {job_class::normal, "normal"},
    {job_class::long_running, "long_running"},
}};

/// The state of a job.
enum class job_state : std::uint8_t
{
    waiting,
    starting, ///< a task is recorded and may have been ordered
    running,  ///< a worker has reported the task
    /// Is leaving its host: the task writes a checkpoint and stops, then the job waits for another
    /// host.
    checkpointing,
    finished,
    failed,
    cancelled, ///< when a host is set: its task may not have stopped yet
    set_aside, ///< failed on several hosts that run other jobs well
    unknown,   ///< may run once only and may have run; not started again without a command
    impossible ///< fits no host of the pool, or exceeds its team's quota
};

inline constexpr core::name_table<job_state, 10> job_state_names{{
    {job_state::waiting, "waiting"},
    {job_state::starting, "starting"},
    {job_state::running, "running"},
    {job_state::checkpointing, "checkpointing"},
    {job_state::finished, "finished"},
    {job_state::failed, "failed"},
    {job_state::cancelled, "cancelled"},
    {job_state::set_aside, "set_aside"},
    {job_state::unknown, "unknown"},
    {job_state::impossible, "impossible"},
}};

/// Why a running job leaves its host.
enum class release_reason : std::uint8_t
{
    none,
    preempted, ///< an urgent job needs the capacity
    drained    ///< the host is being drained
};

inline constexpr core::name_table<release_reason, 3> release_reason_names{{
    {release_reason::none, "none"},
    {release_reason::preempted, "preempted"},
    {release_reason::drained, "drained"},
}};

/// Why the last placement round left a job waiting. Kept in memory only.
enum class wait_reason : std::uint8_t
{
    none,
    no_room,         ///< no host has enough free capacity
    quota,           ///< the team's quota is used up
    drains_too_soon, ///< the hosts with free capacity are drained before the job could finish
    backing_off,     ///< the delay after its last failure has not passed
    held_back,  ///< other jobs of its team and kind fail on every host, so they start one at a time
    making_room ///< other jobs are being throttled or checkpointed to free capacity for it
};

inline constexpr core::name_table<wait_reason, 7> wait_reason_names{{
    {wait_reason::none, "none"},
    {wait_reason::no_room, "no_room"},
    {wait_reason::quota, "quota"},
    {wait_reason::drains_too_soon, "drains_too_soon"},
    {wait_reason::backing_off, "backing_off"},
    {wait_reason::held_back, "held_back"},
    {wait_reason::making_room, "making_room"},
}};

/// The resources that a job needs or a host has.
struct resources
{
    double processors = 0;
    double memory_gb = 0;
    int accelerators = 0;

    bool empty() const
    {
        return processors == 0 && memory_gb == 0 && accelerators == 0;
    }
};

inline resources operator+(const resources& a, const resources& b)
{
    return {
        a.processors + b.processors, a.memory_gb + b.memory_gb, a.accelerators + b.accelerators};
}

inline resources operator-(const resources& a, const resources& b)
{
    return {
        a.processors - b.processors, a.memory_gb - b.memory_gb, a.accelerators - b.accelerators};
}

inline bool operator==(const resources& a, const resources& b)
{
    return a.processors == b.processors && a.memory_gb == b.memory_gb &&
           a.accelerators == b.accelerators;
}

/// \return whether \p need fits into \p available. Sums of fractions of a processor or gigabyte
/// have rounding errors; the tolerance is far below any real size.
inline bool fits(const resources& need, const resources& available)
{
    constexpr double rounding = 1e-6;
    return need.processors <= available.processors + rounding &&
           need.memory_gb <= available.memory_gb + rounding &&
           need.accelerators <= available.accelerators;
}

/// The number of failures of one job on one host.
struct host_failure
{
    std::string host;
    int count = 0;
};

/// A job: what was submitted, its state, and the record of its newest task.
struct job
{
    std::string id;
    std::string team;
    std::string kind; ///< the program that the job runs, to estimate real sizes by; may be empty
    job_class klass = job_class::normal;
    resources declared;
    core::millis run_time{0};    ///< as declared
    bool idempotent = false;     ///< false: may run once only
    std::string payload;         ///< not interpreted; removed when the job reaches a terminal state
    std::uint64_t body_hash = 0; ///< of the submission, to distinguish a repeat from a conflict
    std::int64_t submitted_ms = 0;

    job_state state = job_state::waiting;
    std::int64_t state_since_ms = 0; ///< when the state began, for operators
    int attempt = 0;                 ///< number of the newest task
    std::string host;                ///< of the newest task, until that task has certainly stopped
    /// Incarnation of the owner that recorded the newest task; only this owner may order the task.
    std::string recorded_by;
    resources reserved;                ///< counted on the host until measurements are available
    core::millis expected_run_time{0}; ///< predicted run time of the newest task
    core::millis lease_ttl{0};         ///< time to live of the newest task's lease
    bool throttled = false;
    release_reason releasing = release_reason::none; ///< why the job is leaving its host
    std::string checkpoint;                          ///< name of the newest checkpoint, or empty
    int preemptions = 0;       ///< number of times that the job left a host for an urgent job
    int moves = 0;             ///< number of moves caused by drains
    std::string moved_by_wave; ///< wave that caused the last move, or empty
    std::vector<host_failure> failures;
    resources peak_use;                ///< largest measured use, when measured
    core::millis measured_run_time{0}; ///< measured, in a terminal state
    model::decision_record decision;   ///< the newest decision about the job

    // The following fields are kept in memory only.
    std::uint64_t pending_write = 0; ///< number of the write that will store the job; 0: stored
    wait_reason waits_for = wait_reason::none;
    int team_index = -1;  ///< index into pool_jobs::team_names
    int group_index = -1; ///< index into pool_jobs::group_names
};

/// Identifies the owner that may place a pool's jobs. Each document of the pool holds a token, and
/// a stored token is only ever replaced by a newer one.
struct fencing_token
{
    std::uint64_t epoch = 0; ///< of the roster under which the process became the pool's owner
    std::string incarnation;
};

bool operator==(const fencing_token& a, const fencing_token& b);

/// The jobs of one bucket.
struct job_document
{
    std::string pool;
    int bucket = 0;
    fencing_token token; ///< of the newest owner that wrote the document
    std::vector<job> jobs;
};

/// Number of documents of each pool. It must never change: with another number a repeated
/// submission would be looked up in another document and become a second job.
inline constexpr int buckets_per_pool = 16;

/// \return the bucket of a job, 0 to buckets_per_pool - 1.
int bucket_of(const std::string& job_id);

/// \return the document's key in the key-value service.
std::string document_key(const std::string& pool, int bucket);

job* find_job(job_document& d, const std::string& id);
const job* find_job(const job_document& d, const std::string& id);

/// \return whether a task of the job may occupy its host.
bool may_occupy_host(const job& j);

/// \return whether the job's state is terminal: the owner does not start the job again by itself. A
/// late report of a worker may still decide the outcome of an unknown job, and the task of a
/// cancelled job may not have stopped yet.
bool is_terminal(const job& j);

/// \return the name of the newest task. The name is never used again: a job id may be used again
/// long after its job was removed, so the name contains the time of submission.
std::string task_name(const job& j);

/// \return the job id in a task's name, or an empty string.
std::string job_id_of_task(const std::string& task);

/// \return the attempt number in a task's name when the task belongs to \p j, else 0.
int attempt_of_task(const job& j, const std::string& task);

/// Changes the state and records the rule and the weighed facts of the decision.
void enter_state(
    job& j, job_state next, std::int64_t now_ms, std::string rule, std::string weighed);

/// \return the name of the job's group: its team and kind. Jobs of one group are assumed to be
/// similar.
std::string group_name(const job& j);

} // namespace camphorhitch::jobs
