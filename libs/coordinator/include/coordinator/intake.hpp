/// \file
/// Adds jobs and hosts to the state of the coordinator and removes them; ends and leases of hosts.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// \return the highest value of fleet::term: all run numbers that are reserved for it are within
/// workflow::max_run_number.
std::int64_t max_term(const coordinator_settings& s);

/// Adds a job. Does nothing when the job is already present.
/// \param created store revision at which the job was accepted
/// \param progress stored progress of the job
/// \param stored store revision of \p progress; 0: no progress is stored
void add_job(fleet& f,
    workflow::job spec,
    ports::revision created,
    const workflow::job_progress& progress,
    ports::revision stored);

/// Cancels a job for its caller: no more tasks of the job start, and its active runs are stopped.
void cancel_job(fleet& f, const std::string& id, core::mono_time now, task_events& out);

/// Releases the memory of the tasks of a job that is final, stored and without runs. The job entry
/// itself stays: a read of the store that began before the job was removed may return the job
/// again, and it must not start anew.
void release_job_tasks(fleet& f, job_entry& j);

/// Adds the runners that previous coordinators used. Inherited tasks of a pool start only after
/// each inherited runner of that pool was polled or its leases have expired.
void add_inherited_hosts(fleet& f, const std::vector<inherited_host>& all, core::mono_time now);

/// Replaces add_inherited_hosts when the record of these runners is unreadable: all inherited tasks
/// wait until every lease of previous coordinators has expired.
void delay_inherited_tasks(fleet& f, core::mono_time now);

/// Applies the newest list of runners.
void apply_host_list(
    fleet& f, const std::vector<host_listing>& all, core::mono_time now, task_events& out);

/// The parts of apply_host_list: marks all hosts as not listed, before the entries are applied.
void begin_host_list(fleet& f, core::mono_time now);

/// Applies one entry of the list of runners.
void apply_host_listing(fleet& f, const host_listing& it, core::mono_time now, task_events& out);

/// Marks the runner of an entry that is no longer in the list.
void remove_host_listing(fleet& f, const host_listing& it);

/// Evidence that an incarnation of a runner has certainly ended.
enum class termination_evidence
{
    other_life,    ///< the machine list names another incarnation on its machine
    no_life,       ///< the machine list shows its machine as moving, in maintenance or in another
                   ///< pool
    moved,         ///< the order of this coordinator to move its machine was carried out
    address_taken, ///< another runner answers at its address, and all of its own leases have
                   ///< expired
    restarted      ///< its runner has started again under the same id
};

inline constexpr core::name_table<termination_evidence, 5> termination_evidence_names{{
    {termination_evidence::other_life, "other_life"},
    {termination_evidence::no_life, "no_life"},
    {termination_evidence::moved, "moved"},
    {termination_evidence::address_taken, "address_taken"},
    {termination_evidence::restarted, "restarted"},
}};

/// Removes a host whose runner has certainly ended, with all its runs. When the runner ended
/// without an order (other_life, restarted), a task may have crashed it, and its runs count as
/// lost.
void end_host(fleet& f,
    const std::string& id,
    termination_evidence proof,
    core::mono_time now,
    task_events& out);

/// A host whose runs were abandoned because all of its leases have expired.
struct expired_host
{
    std::string host;
    std::size_t runs = 0;
    /// Time of its latest answer to a poll or renewal; zero: none in this term.
    core::mono_time last_answer_at;
    core::mono_time polled_at; ///< when its latest poll was sent; zero: none in this term
};

/// Abandons the runs of unresponsive hosts whose leases have certainly expired, so that their tasks
/// can start elsewhere. Removes such a host when it isn't listed or another runner has its address.
/// \return the hosts that had runs
std::vector<expired_host> expire_hosts(fleet& f, core::mono_time now, task_events& out);

/// Removes the runs of the host from those that no open task has an entry for.
void erase_orphaned_runs(fleet& f, const std::string& host);

/// \return the time within which any lease of a runner has certainly expired, whichever clock its
/// end was computed for.
core::millis max_lease_time(const fleet& f);

/// \return lower bound of the runner's clock at \p now, in milliseconds; -1: its clock is unknown
std::int64_t min_runner_clock(const fleet& f, const host_entry& h, core::mono_time now);

/// \param remaining as in inherited_host
/// \return whether leases may be granted to a runner whose stored row states this: a successor
/// waits for as long as they can last.
bool may_grant_leases(const fleet& f, const std::optional<core::millis>& remaining);

/// \return whether every lease that may have been granted to \p h has certainly expired.
bool leases_expired(const fleet& f, const host_entry& h, core::mono_time now);

/// \return time from \p now until every lease that may have been granted to \p h has certainly
/// expired, provided that no further lease is granted; 0: all have expired.
core::millis time_to_lease_expiry(const fleet& f, const host_entry& h, core::mono_time now);

/// \return whether \p h may have runs that the next coordinator must know of. A runner that never
/// answered was granted no lease, so it runs nothing.
bool may_hold_runs(const fleet& f, const host_entry& h, core::mono_time now);

/// \return the end of a lease granted now, in milliseconds of the runner's clock; 0: no lease may
/// be granted, because the runner's clock is unknown, the runner is unresponsive, the next
/// coordinator would not wait for this runner, or an abandoned start could still begin under the
/// lease.
std::int64_t lease_end_for(const fleet& f, const host_entry& h, core::mono_time now);

/// Records that a lease that ends at \p until_ms of the runner's clock may be in force on \p h.
void record_lease(host_entry& h, std::int64_t until_ms);

/// \return the progress of the job in the form that is stored.
workflow::job_progress progress_of(const job_entry& j);

/// Pools in which runs of a previous coordinator may be active that this one has not seen.
struct unseen_run_pools
{
    bool all_pools = false; ///< the pool of such runs is unknown, so they may be in any pool
    std::set<std::string> pools;
};

/// \return the pools in which runs of a previous coordinator may be active unseen.
unseen_run_pools find_unseen_run_pools(const fleet& f, core::mono_time now);

/// \return whether a task of this pool may have an active run that this coordinator has not seen.
bool may_have_unseen_runs(const unseen_run_pools& u, const std::string& pool);

} // namespace camphorhitch::coordinator
