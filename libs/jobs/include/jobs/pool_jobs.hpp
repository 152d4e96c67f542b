/// \file
/// The state that the owner of a pool keeps of the pool's jobs, and how its writes are fenced.
///
/// The capacity of a host and the use of a quota span all documents of a pool, but a write is
/// conditional on one document only. Therefore a new owner first writes its fencing token into
/// every document of the pool. Tokens only grow, so the next write of an owner that placed under an
/// older token ends in a conflict. The new owner's copy of the documents then holds everything that
/// any older owner managed to write.
#pragma once

#include "core/time.hpp"
#include "jobs/estimator.hpp"
#include "jobs/health.hpp"
#include "jobs/job.hpp"
#include "jobs/quota.hpp"
#include "jobs/settings.hpp"
#include "ports/platform.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::jobs
{

/// How soon a changed document must be written.
enum class write_need : std::uint8_t
{
    none,
    with_next, ///< together with the next change of the document
    lazy,      ///< together with the next change, or after settings::lazy_write_delay
    soon
};

/// The owner's copy of one document, with the state of its writes.
struct bucket_state
{
    job_document document;
    bool loaded = false;
    bool fenced = false; ///< the stored document carries this owner's token
    write_need need = write_need::none;
    core::mono_time need_since{};
    std::uint64_t next_write = 1;  ///< number of the next write
    std::uint64_t in_flight = 0;   ///< number of the write in flight, or 0
    bool in_flight_fenced = false; ///< the write in flight carries this owner's token
    /// A write got no answer and may still take effect. Until the stored revision has moved past
    /// that write, the stored document may come to hold the start of a task, or a task at full
    /// speed again, that this copy does not count.
    bool uncertain = false;
};

/// State of one task that its job's document does not hold. It is lost with the process and rebuilt
/// from reports.
struct task_record
{
    core::mono_time first_seen{}; ///< when this process first saw the task in a document
    std::optional<core::mono_time> ordered_at;
    std::optional<ports::platform_status> order_result;
    std::optional<core::mono_time> renewed_at;
    std::optional<core::mono_time> reported_at; ///< when a report last named the task
    ports::task_report report;
    resources peak_use; ///< largest use reported
    std::optional<core::mono_time> checkpoint_sent;
    std::optional<core::mono_time> stop_sent;
    /// When the task was first asked to leave its host.
    std::optional<core::mono_time> release_started_at;
    std::optional<core::mono_time> throttle_sent;
    std::optional<ports::task_action> throttle_command; ///< the newest command sent
    /// Whether the worker throttles the task; empty while a command to change this is in flight.
    std::optional<bool> throttled_at_worker;
    std::uint64_t last_round = 0;  ///< number of the last round in which a job held this task
    bool success_recorded = false; ///< the task has run well, and its host's health shows it
    /// Its end was recorded. Guards against a second record, because after a conflicting write a
    /// round reconciles the same end again.
    bool end_recorded = false;
};

/// Indexes of names, in order of their first use.
struct name_index
{
    std::unordered_map<std::string, int> indexes; ///< by name
    std::vector<std::string> names;
};

/// \return the index of \p name; adds the name when it is new.
int index_of(name_index& all, const std::string& name);

/// The part of a team's quota that may be used in this pool.
struct team_grant
{
    resources granted; ///< empty until the first request of this owner is stored
    /// A request is in flight. Whatever it returns may be granted to another pool at any moment, so
    /// until its result is available nothing is placed beyond the use at the time of the request.
    bool pending = false;
    resources used_when_sent;
    resources wanted_when_sent;
    std::optional<core::mono_time> sent_at;
};

/// Capacity that is being freed on a host for an urgent job.
struct capacity_claim
{
    std::string host;
    resources size;
    core::mono_time since{};
};

/// A host that is reserved for a job which found no capacity for long.
struct reservation
{
    std::string host;
    core::mono_time free_at{}; ///< when the job is predicted to fit
};

/// The state that the owner keeps of one pool's jobs.
struct pool_jobs
{
    std::string pool;
    fencing_token token;
    /// A newer owner's token was seen: this object must be dropped and writes nothing.
    bool superseded = false;
    core::mono_time taken_over_at{}; ///< when this process became the owner
    /// Time from which the previous owner has certainly stopped renewing leases; empty until the
    /// caller sets it.
    std::optional<core::mono_time> predecessor_stopped_at;
    std::array<bucket_state, buckets_per_pool> buckets;

    // The following state is not stored; a new owner starts without it.
    std::unordered_map<std::string, task_record> tasks;              ///< by task name
    std::unordered_map<std::string, core::mono_time> retry_at;       ///< by job id, after a failure
    std::unordered_map<std::string, core::mono_time> waiting_since;  ///< by job id
    std::unordered_map<std::string, capacity_claim> capacity_claims; ///< by job id
    std::unordered_map<std::string, reservation> reservations;       ///< by job id
    std::unordered_map<std::string, team_grant> teams;               ///< by team name
    estimator estimates;
    pool_health health;
    std::uint64_t rounds = 0;          ///< number of rounds run
    core::mono_time last_cleanup_at{}; ///< when outdated task records and waits were last removed
    name_index team_names;  ///< jobs hold their indexes, so that a round compares no strings
    name_index group_names; ///< of group_name()
    /// The terminal jobs of the documents were added to the estimates.
    bool documents_in_estimates = false;
};

/// \param token the roster's epoch (above 0) and a text that no other call has ever used, such as
///   the process's incarnation with a counter. Tasks recorded under this token are ordered by this
///   object only, and the object remembers which of them it has ordered.
pool_jobs make_pool_jobs(std::string pool, fencing_token token, core::mono_time now);

/// How a document came to be read.
enum class read_cause
{
    /// Its revision is newer than any that this process wrote or used as the condition of a write.
    newer,
    same ///< read again after a write without an answer, with the revision unchanged
};

/// Replaces the copy of a document by the stored one; a key that does not exist is an empty
/// document. Changes that were made here and not written are dropped; the next round derives them
/// again from the state of the tasks.
/// \return false when a write of the document is in flight: the caller must pass the document again
/// after record_write_result().
bool apply_document(
    pool_jobs& all, int bucket, job_document stored, read_cause cause, core::mono_time now);

/// A document to write now, conditional on the revision at which its copy was read.
struct due_write
{
    int bucket = 0;
    const job_document* document = nullptr; ///< must be encoded before the next call on the pool
};

/// \return the documents whose write is due. Each write counts as in flight until
/// record_write_result().
std::vector<due_write> begin_due_writes(pool_jobs& all, const settings& rules, core::mono_time now);

/// How a write of a document ended.
enum class write_result
{
    stored,
    conflict, ///< certainly not stored; the document must be read and passed to apply_document()
    unknown   ///< no answer; the document must be read and passed to apply_document()
};

/// Records the result of a write that begin_due_writes() returned.
void record_write_result(pool_jobs& all, int bucket, write_result how);

/// \return whether every document is read, carries this owner's token and has no uncertain write,
/// so that this process has a record of all tasks and may place jobs.
bool can_place(const pool_jobs& all);

/// Marks a document as changed.
void mark_changed(bucket_state& b, write_need need, core::mono_time now);

/// Marks a job of the document as changed.
void mark_changed(bucket_state& b, job& j, write_need need, core::mono_time now);

/// Records the reports of a host about its tasks.
void record_reports(pool_jobs& all,
    const std::string& host,
    const ports::task_reports& reports,
    core::mono_time now);

/// Records the result of an order to start a task.
void record_order_result(pool_jobs& all, const std::string& task, ports::platform_status how);

/// Records the result of a command to tasks.
void record_command_result(pool_jobs& all,
    const std::vector<std::string>& tasks,
    ports::task_action what,
    ports::platform_status how);

/// Records the grant that a request received. To be called when the document with the grant is
/// stored. A request that failed in any other way is repeated by a later round.
void record_grant(pool_jobs& all, const quota_request& request, const resources& granted);

/// \return the hosts whose reports are needed: a task may run there, or a job with an unknown
/// outcome ran there.
std::vector<std::string> hosts_to_poll(const pool_jobs& all);

/// \return the record of a task, which is added when there is none.
task_record& find_or_add_task(pool_jobs& all, const std::string& task, core::mono_time now);

/// \return whether count_tasks_on() counts every task that can exist: all documents are read, and
/// no other owner can place. Documents without work need no token for this, because a previous
/// owner that places a job would have to write a document that has changed since it read the
/// document.
bool has_complete_task_count(const pool_jobs& all);

/// \return the number of tasks that may still run on the host. A drain is complete at 0.
int count_tasks_on(const pool_jobs& all, const std::string& host);

} // namespace camphorhitch::jobs
