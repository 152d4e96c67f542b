/// \file
/// Jobs and hosts come into the coordinator's view, and leave it.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Takes a job in; a job that is known already changes nothing.
/// \param created store revision of its acceptance
/// \param progress as stored, with \p stored its revision; revision 0: nothing is stored
void add_job(fleet& f,
    workflow::job spec,
    ports::revision created,
    const workflow::job_progress& progress,
    ports::revision stored);

/// Ends a job at its caller's wish: nothing of it starts any more, and what runs is stopped.
void cancel_job(fleet& f, const std::string& id, core::mono_time now, task_events& out);

/// Gives up the tasks of a job that is final, stored and without runs. Its entry stays: the job may
/// come into view again by a reading that began before its removal, and must not start anew.
void shrink_job(fleet& f, job_entry& j);

/// Runners that a former owner used: each has to be examined, or its leases to have lapsed, before
/// an inherited task of its pool starts anywhere.
void add_prior_hosts(fleet& f, const std::vector<inherited_host>& all, core::mono_time now);

/// As add_prior_hosts when it can't be read which runners those were: all inherited tasks wait
/// until every lease has lapsed.
void hold_inherited(fleet& f, core::mono_time now);

/// The newest list of runners.
void see_hosts(
    fleet& f, const std::vector<host_listing>& all, core::mono_time now, task_events& out);

/// What shows that a runner's life has certainly ended.
enum class life_proof
{
    other_life,   ///< the list of machines names the next one
    no_life,      ///< the list says that its machine moves or is maintained
    moved,        ///< the own order to move its machine was carried out
    address_taken ///< another runner answers at its address, and all its leases have ended
};

inline constexpr core::name_table<life_proof, 4> life_proof_names{{
    {life_proof::other_life, "other_life"},
    {life_proof::no_life, "no_life"},
    {life_proof::moved, "moved"},
    {life_proof::address_taken, "address_taken"},
}};

/// A runner's life has certainly ended: all its runs are over. One that ended by itself may have
/// been crashed by a task.
void end_host(
    fleet& f, const std::string& id, life_proof proof, core::mono_time now, task_events& out);

/// A host whose runs were given up because its leases had ended.
struct host_lapse
{
    std::string host;
    std::size_t runs = 0;
    core::mono_time answered; ///< when it last answered a poll; zero: never in this term
    core::mono_time polled;   ///< when its latest poll was sent; zero: none in this term
};

/// Removes hosts whose leases have certainly lapsed unheard, and frees their tasks.
/// \return those that had runs.
std::vector<host_lapse> lapse_hosts(fleet& f, core::mono_time now, task_events& out);

/// \return the runner's clock now, at least; -1 when it never told.
std::int64_t least_clock(const fleet& f, const host_entry& h, core::mono_time now);

/// \return whether every lease that may have been granted on \p h has certainly ended.
bool has_lapsed(const fleet& f, const host_entry& h, core::mono_time now);

/// \return how long from now until every lease that may have been granted on \p h has certainly
/// ended, if none is granted any more; 0: it has.
core::millis time_to_lapse(const fleet& f, const host_entry& h, core::mono_time now);

/// \return whether \p h may hold runs that a successor has to know of. A runner that never answered
/// was given no lease, so it runs nothing.
bool may_hold_runs(const fleet& f, const host_entry& h, core::mono_time now);

/// \return the end of a lease granted now, on the runner's clock; 0 when its clock is unknown, it
/// does not answer, a successor would not wait for it, or a start that was given up might begin
/// under it: then none is granted.
std::int64_t lease_end_for(const fleet& f, const host_entry& h, core::mono_time now);

/// Notes that a lease until \p until_ms may be in force on \p h.
void note_lease(host_entry& h, std::int64_t until_ms);

/// \return the progress to store.
workflow::job_progress progress_of(const job_entry& j);

/// Where runs of a former owner may be that nobody has looked at.
struct unexamined
{
    bool anywhere = false; ///< the pool is not known
    std::set<std::string> pools;
};

unexamined find_unexamined(const fleet& f, core::mono_time now);

/// \return whether a task of this pool may run unseen.
bool covers(const unexamined& u, const std::string& pool);

} // namespace camphorhitch::coordinator
