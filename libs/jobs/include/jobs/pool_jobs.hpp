/// \file
/// What the owner of a pool holds in memory of its jobs, and how its writes are fenced.
///
/// The capacity of a host and the use of a quota span all documents of a pool, but a write is
/// conditional on one document only. So an owner first puts its mark into every document of the
/// pool; marks only grow, and whoever placed under an older mark finds its next write in conflict.
/// The new owner's view then holds everything that any older one managed to write.
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
    with_next, ///< goes with the next change, whenever that comes
    lazy,      ///< the same, but is written after settings::lazy_write
    soon
};

struct bucket_view
{
    job_document document;
    bool loaded = false;
    bool fenced = false; ///< the stored document carries our mark
    write_need need = write_need::none;
    core::mono_time need_since{};
    std::uint64_t next_write = 1;  ///< number that the next write will have
    std::uint64_t in_flight = 0;   ///< number of the write under way, or 0
    bool in_flight_marked = false; ///< the write under way carries our mark
    /// A write got no answer and may still arrive: until the stored revision has moved past it, the
    /// document may come to hold a start, or a task at full speed again, that we would not count.
    bool doubtful = false;
};

/// What is known of one task beside its job's document. Lost with the process; rebuilt by reports.
struct task_view
{
    core::mono_time first_seen{}; ///< when this process first saw it recorded
    std::optional<core::mono_time> ordered_at;
    std::optional<ports::platform_status> order_ended;
    std::optional<core::mono_time> renewed_at;
    std::optional<core::mono_time> reported_at; ///< when a report last named it
    ports::task_report report;
    amounts peak; ///< largest use reported
    std::optional<core::mono_time> checkpoint_sent;
    std::optional<core::mono_time> stop_sent;
    std::optional<core::mono_time> release_since; ///< when it was first asked to leave
    std::optional<core::mono_time> throttle_sent;
    std::optional<ports::task_action> throttle_command; ///< the newest sent
    /// What the worker is known to do; unknown while a command to change it is under way.
    std::optional<bool> throttled_there;
    std::uint64_t round = 0; ///< number of the last round in which a job held it
    bool proved = false;     ///< its success was noted
    bool judged = false; ///< its end was noted: a conflicting write makes a round take it in again
};

/// Numbers for names, given in the order in which they come.
struct name_numbers
{
    std::unordered_map<std::string, int> numbers;
    std::vector<std::string> names;
};

/// \return the number of \p name.
int number_of(name_numbers& all, const std::string& name);

/// What a team may use of its quota in this pool.
struct team_grant
{
    amounts granted; ///< nothing until the first wish of this owner is stored
    /// A wish is under way, and what it lowers may be granted to another pool at any moment: until
    /// its end is known nothing is placed beyond what was in use when it was sent.
    bool pending = false;
    amounts used_when_sent;
    amounts wanted_when_sent;
    std::optional<core::mono_time> sent_at;
};

/// Room being made on a host for an urgent job.
struct claim
{
    std::string host;
    amounts size;
    core::mono_time since{};
};

/// A host kept for a job that found no room for long.
struct reservation
{
    std::string host;
    core::mono_time free_at{}; ///< when the job is predicted to fit
};

struct pool_jobs
{
    std::string pool;
    placer_mark mark;
    bool superseded = false; ///< a newer owner's mark was seen: drop this and write nothing
    core::mono_time since{}; ///< when this process took over
    /// When the owner before has certainly stopped renewing; unknown until the caller tells.
    std::optional<core::mono_time> predecessor_stopped;
    std::array<bucket_view, buckets_per_pool> buckets;

    // Soft state.
    std::unordered_map<std::string, task_view> tasks;               ///< by task name
    std::unordered_map<std::string, core::mono_time> wait_until;    ///< by job, after a failure
    std::unordered_map<std::string, core::mono_time> waiting_since; ///< by job
    std::unordered_map<std::string, claim> claims;                  ///< by job
    std::unordered_map<std::string, reservation> reservations;      ///< by job
    std::unordered_map<std::string, team_grant> teams;              ///< by name
    estimator sizes;
    pool_health health;
    std::uint64_t rounds = 0;    ///< run so far
    core::mono_time forgot_at{}; ///< when views that nobody needs were last forgotten
    name_numbers team_numbers;   ///< jobs carry their numbers, so that a round compares no texts
    name_numbers group_numbers;  ///< of group_of()
    bool learned = false;        ///< the documents' jobs that are over were learned from
};

/// \param mark the roster's epoch (above 0) and a text that no other call ever used, such as the
/// process's incarnation with a counter: tasks recorded under it are ordered by this object only,
/// and it remembers which it ordered.
pool_jobs make_pool_jobs(std::string pool, placer_mark mark, core::mono_time now);

/// How a document came to be read.
enum class read_cause
{
    newer, ///< its revision is newer than any that this process wrote or tried to write upon
    same   ///< read again after a write without an answer, and the revision has not moved
};

/// Takes in a document as it is stored; one without a key is an empty document. Changes made here
/// and not written are dropped: the next round finds them again from what it knows.
/// \return false when a write of the document is under way: offer it again after write_ended().
bool take_document(
    pool_jobs& all, int bucket, job_document stored, read_cause cause, core::mono_time now);

/// One document to write now, conditional on the revision that its copy was read at.
struct due_write
{
    int bucket = 0;
    const job_document* document = nullptr; ///< encode it before the next call on the pool
};

/// \return documents whose write is due; each counts as under way until write_ended().
std::vector<due_write> due_writes(pool_jobs& all, const settings& rules, core::mono_time now);

enum class write_end
{
    stored,
    conflict, ///< certainly not stored; read it and call take_document()
    doubt     ///< no answer; read it and call take_document()
};

void write_ended(pool_jobs& all, int bucket, write_end how);

/// \return whether every document is read, carries our mark, and awaits no write in doubt, so that
/// this process sees all tasks and may place.
bool may_place(const pool_jobs& all);

/// Marks a document as changed.
void touch(bucket_view& b, write_need need, core::mono_time now);

/// Marks a job of the document as changed.
void touch(bucket_view& b, job& j, write_need need, core::mono_time now);

/// Notes what a host reported of its tasks.
void note_reports(pool_jobs& all,
    const std::string& host,
    const ports::task_reports& reports,
    core::mono_time now);

/// Notes how an order to start a task ended.
void note_order_ended(pool_jobs& all, const std::string& task, ports::platform_status how);

/// Notes how a command to tasks ended.
void note_command_ended(pool_jobs& all,
    const std::vector<std::string>& tasks,
    ports::task_action what,
    ports::platform_status how);

/// Notes what a wish got: the document that holds it is stored. A wish that failed in any other way
/// is made again.
void note_granted(pool_jobs& all, const quota_wish& wish, const amounts& granted);

/// \return hosts whose reports matter: a task may run there, or a job of unknown outcome did.
std::vector<std::string> hosts_to_poll(const pool_jobs& all);

/// \return the view of a task, made when it is new.
task_view& view_of(pool_jobs& all, const std::string& task, core::mono_time now);

/// \return whether tasks_on() counts every task there can be: all documents are read, and nobody
/// else can place. Documents without work need no mark for that: to place a job, a former owner
/// would have to write a document that has changed since it read it.
bool counts_all_tasks(const pool_jobs& all);

/// \return tasks that may still run on the host; a drain is complete at 0.
int tasks_on(const pool_jobs& all, const std::string& host);

} // namespace camphorhitch::jobs
