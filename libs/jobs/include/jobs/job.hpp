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

/// The class of a job, the most urgent first.
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

enum class job_state : std::uint8_t
{
    waiting,
    starting,      ///< a task is recorded and may have been ordered
    running,       ///< a worker reported its task
    checkpointing, ///< shall leave its host: checkpoint, stop, then wait for another one
    finished,
    failed,
    cancelled, ///< with a host: its task may not have stopped yet
    set_aside, ///< failed on several hosts that run other jobs
    unknown,   ///< may run once only and may have run; never started again by itself
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

/// Why a running job shall leave its host.
enum class release_reason : std::uint8_t
{
    none,
    preempted, ///< an urgent job needs the room
    drained    ///< the host leaves
};

inline constexpr core::name_table<release_reason, 3> release_reason_names{{
    {release_reason::none, "none"},
    {release_reason::preempted, "preempted"},
    {release_reason::drained, "drained"},
}};

/// Why the last placement round left a job waiting. In memory only.
enum class wait_reason : std::uint8_t
{
    none,
    no_room,
    quota,           ///< the team's quota is used up
    drains_too_soon, ///< the hosts with room leave before the job could finish
    backing_off,     ///< it failed a moment ago
    held_back,       ///< other jobs of its team and kind fail on every host
    making_room      ///< other jobs are being throttled or checkpointed for it
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

/// What a job takes or a host has.
struct amounts
{
    double processors = 0;
    double memory_gb = 0;
    int accelerators = 0;

    bool empty() const
    {
        return processors == 0 && memory_gb == 0 && accelerators == 0;
    }
};

inline amounts operator+(const amounts& a, const amounts& b)
{
    return {
        a.processors + b.processors, a.memory_gb + b.memory_gb, a.accelerators + b.accelerators};
}

inline amounts operator-(const amounts& a, const amounts& b)
{
    return {
        a.processors - b.processors, a.memory_gb - b.memory_gb, a.accelerators - b.accelerators};
}

inline bool operator==(const amounts& a, const amounts& b)
{
    return a.processors == b.processors && a.memory_gb == b.memory_gb &&
           a.accelerators == b.accelerators;
}

/// \return whether \p need fits into \p room. Sums of shares of a processor or gigabyte are off by
/// rounding; the tolerance is far below any real size.
inline bool fits(const amounts& need, const amounts& room)
{
    constexpr double rounding = 1e-6;
    return need.processors <= room.processors + rounding &&
           need.memory_gb <= room.memory_gb + rounding && need.accelerators <= room.accelerators;
}

/// Failures of one job on one host.
struct host_failure
{
    std::string host;
    int count = 0;
};

struct job
{
    std::string id;
    std::string team;
    std::string kind; ///< what it runs, for learning real sizes; may be empty
    job_class klass = job_class::normal;
    amounts declared;
    core::millis run_time{0};    ///< declared
    bool idempotent = false;     ///< false: may run once only
    std::string payload;         ///< opaque to us; dropped when the job is over
    std::uint64_t body_hash = 0; ///< of the submission, to tell a repeat from a conflict
    std::int64_t submitted_ms = 0;

    job_state state = job_state::waiting;
    std::int64_t since_ms = 0; ///< when the state began, for people
    int attempt = 0;           ///< of the newest task
    std::string host;          ///< of the newest task, until it has certainly stopped
    std::string starter;       ///< incarnation that recorded the newest task; it alone may order it
    amounts reserved;          ///< counted on the host until measurements come
    core::millis expected{0};  ///< predicted run time of the newest task
    core::millis lease{0};     ///< time to live of the newest task's lease
    bool throttled = false;
    release_reason releasing = release_reason::none;
    std::string checkpoint; ///< newest known, or empty
    int preemptions = 0;
    int moves = 0;        ///< because of drains
    std::string moved_in; ///< wave of the last move, or empty
    std::vector<host_failure> failures;
    amounts used;        ///< measured peak, when known
    core::millis ran{0}; ///< measured, when over
    model::decision_record why;

    // In memory only.
    std::uint64_t pending_write = 0; ///< number of the write that will store it; 0: stored
    wait_reason waits_for = wait_reason::none;
    int team_number = -1;  ///< see pool_jobs::team_numbers
    int group_number = -1; ///< see pool_jobs::group_numbers
};

/// Who may place a pool's jobs: stands in each of its documents, and only ever grows.
struct placer_mark
{
    std::uint64_t epoch = 0; ///< of the roster under which it became the owner
    std::string incarnation;
};

bool operator==(const placer_mark& a, const placer_mark& b);

/// The jobs of one bucket.
struct job_document
{
    std::string pool;
    int bucket = 0;
    placer_mark placer;
    std::vector<job> jobs;
};

/// Documents of each pool. The same for ever: with another number a repeated submission would look
/// into another document and become a second job.
inline constexpr int buckets_per_pool = 16;

/// \return the bucket of a job, 0 to buckets_per_pool - 1.
int bucket_of(const std::string& job_id);

/// \return the document's key in the key-value service.
std::string document_key(const std::string& pool, int bucket);

job* find_job(job_document& d, const std::string& id);
const job* find_job(const job_document& d, const std::string& id);

/// \return whether the job may hold a task on its host.
bool holds_host(const job& j);

/// \return whether nothing will happen to the job by itself any more.
bool is_over(const job& j);

/// \return the newest task's name. Unique for ever: an id may be used again long after its job is
/// forgotten, so the time of submission is part of it.
std::string task_name(const job& j);

/// \return the job's id inside a task's name, or an empty string.
std::string job_of_task(const std::string& task);

/// \return the attempt in a task's name, when the task is one of this very job; else 0.
int attempt_of_task(const job& j, const std::string& task);

/// Changes the state and records why.
void enter(job& j, job_state next, std::int64_t now_ms, std::string rule, std::string weighed);

/// \return the team and kind whose jobs are taken to resemble one another.
std::string group_of(const job& j);

} // namespace camphorhitch::jobs
