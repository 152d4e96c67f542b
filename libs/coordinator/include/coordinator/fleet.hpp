/// \file
/// What the coordinator believes: jobs, their runs, and the hosts that run them.
#pragma once

#include "coordinator/learning.hpp"
#include "core/names.hpp"
#include "core/time.hpp"
#include "ports/key_value.hpp"
#include "ports/runners.hpp"
#include "workflow/model.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace camphorhitch::coordinator
{

enum class run_phase
{
    ordered,   ///< the start order is out and unanswered
    unsettled, ///< its answer was lost: it may run, or start seconds later
    running,   ///< the runner said so
    stopping   ///< a stop is wanted; it takes room until its end is certain
};

inline constexpr core::name_table<run_phase, 4> run_phase_names{{
    {run_phase::ordered, "ordered"},
    {run_phase::unsettled, "unsettled"},
    {run_phase::running, "running"},
    {run_phase::stopping, "stopping"},
}};

/// One start of a task on one host.
struct run_entry
{
    std::int64_t number = 0;
    std::string host; ///< id of the runner's life
    run_phase phase = run_phase::ordered;
    core::mono_time ordered_at;
    bool adopted = false;   ///< begun by a former owner: when is not known
    bool resumed = false;   ///< from a checkpoint: it takes less than a whole run
    bool confirmed = false; ///< the runner has said that it runs
    bool watched = false;   ///< earlier runs were lost with their hosts
    bool trial = false;     ///< of a suspect: nothing else is placed on its host
    bool sole = false;      ///< no other task on its host is suspected
    /// A poll that began before this says nothing about the present phase.
    core::mono_time changed_at;
    bool stop_in_flight = false;
    bool stop_confirmed = false; ///< the runner will not start this run any more
    core::mono_time stop_again;  ///< earliest repeat of an unanswered stop
    int percent = 0;             ///< of its work, as last reported
    std::int64_t figure = 0;     ///< as ports::reported_run::figure
    int pace = 100;              ///< percent ordered last
};

struct task_entry
{
    workflow::task_progress progress;
    std::int64_t last_run = 0; ///< highest number that any runner may have seen
    std::vector<run_entry> runs;
    std::vector<std::string> failed_on; ///< hosts; avoided while there are others
    core::mono_time not_before;         ///< a start was refused; it is ordered again after this
    core::mono_time lost_at; ///< when this owner noted the newest lost run; zero: it noted none
    /// A former owner may have ordered a run that nobody has seen, and that was lost. It counts
    /// once one is known to be lost.
    bool unseen_start = false;
    /// Number of the trial that is entered among the lost runs before it starts, so that a
    /// successor knows of it; 0: none.
    std::int64_t reserved = 0;
    bool told_withheld = false; ///< since the newest lost run
};

/// Runs that were lost if the life of a silent runner has ended.
struct loss_doubt
{
    std::string machine;   ///< whose life it was; empty: not known
    core::mono_time since; ///< when its runs were given up; zero: in a former term
    std::vector<std::pair<workflow::task_name, std::int64_t>> runs;
};

/// Leave to run a step's tasks on one host.
struct host_ticket
{
    std::string text;
    core::mono_time until;
};

/// What the platform's advice has said of one step.
struct step_advice
{
    std::map<std::string, host_ticket> good; ///< by runner id
    std::set<std::string> bad;               ///< runners that never may run it
    bool asking = false;
    core::mono_time not_before; ///< of the next call
};

/// Counts over the tasks of one step of one occurrence.
struct step_entry
{
    int done = 0;
    int idle = 0; ///< neither done nor with a run
    /// The last of the steps before was done then, in this term; zero: none was.
    core::mono_time ready_at;
};

struct job_entry
{
    workflow::job spec;
    workflow::job_state state = workflow::job_state::queued;
    bool cancelled = false;       ///< a cancel was accepted
    bool inherited = false;       ///< accepted before this term: a former owner may have started it
    bool dirty = false;           ///< the stored progress is older than this entry
    ports::revision accepted = 0; ///< revision at which the store took the job
    ports::revision stored = 0;   ///< revision of the stored progress; 0: none
    core::mono_time taken_at;     ///< when it came into view; zero: not told
    std::int64_t ended_unix_ms = 0; ///< wall time at which its end was first written; 0: not yet
    std::vector<task_entry> tasks;  ///< by workflow::task_place; empty once final
    std::vector<step_entry> steps;  ///< by occurrence and step
    std::map<std::size_t, step_advice> advice; ///< by place in steps; jobs under advice only
    std::size_t live_runs = 0;
    std::size_t done_tasks = 0;
    int losses = 0; ///< lost runs of all tasks
    /// Losses noted by this owner; those in the newest write of the progress; those that are
    /// stored.
    std::int64_t losses_noted = 0;
    std::int64_t losses_written = 0;
    std::int64_t losses_stored = 0;
};

/// Why no new task may start on a host, beside its own state.
enum class host_use
{
    open,
    closed_for_maintenance,
    closed_for_move
};

/// host_entry::asked from which silence counts as the host's own.
inline constexpr int surely_asked = 2;

struct host_entry
{
    ports::runner_ref ref;
    std::string pool;
    std::string zone;
    std::string rack;
    std::string machine;              ///< as the list of machines showed it; empty: not yet
    core::mono_time machine_known_at; ///< when that list was asked for, or the record read
    std::vector<std::string> labels;
    workflow::resources capacity;
    bool listed = false;    ///< in the newest list of runners
    bool entry_odd = false; ///< it is listed at another address, or in another pool
    bool draining = false;  ///< about to leave
    host_use use = host_use::open;
    core::mono_time closed_at; ///< when use left open
    /// A successor will find it among the runners in use, with nothing said of the end of its
    /// leases. Others are granted no lease and no start.
    bool recorded = false;

    bool prior = false; ///< a former owner may have ordered runs here that we have not seen
    /// How surely it was asked in this term: an answer, or none to a call that left, counts 2; a
    /// call that did not leave counts 1, for the fault may be on this side, or on a node between.
    int asked = 0;
    bool reachable = false;
    bool address_lost = false;    ///< another runner answered there last
    core::mono_time silent_since; ///< when it left reachable
    core::mono_time added_at;
    core::mono_time last_answer;     ///< to a poll; zero: none in this term
    core::mono_time polled_at;       ///< when the latest poll was sent; zero: none in this term
    std::int64_t clock_ms = -1;      ///< the runner's clock in its newest answer; -1: none yet
    core::mono_time clock_at;        ///< when that answer arrived
    std::int64_t lease_until_ms = 0; ///< latest end of a lease that anyone may have granted
    core::mono_time prior_lapse_at;  ///< a former owner's leases have certainly ended by then

    workflow::resources used;    ///< by all runs, stopping and unsettled ones included
    std::size_t strays = 0;      ///< runs of jobs that are not known; they take unknown room
    std::int64_t seen_end = 0;   ///< highest end that was taken in
    std::int64_t stored_end = 0; ///< ends up to here are stored and may be acknowledged
    int fillers = 0;             ///< runs of steps that fill
    int watched = 0;             ///< runs of tasks of which earlier runs were lost
    int trials = 0;              ///< runs of suspects; with any, the host takes no other task
    core::mono_time paced_at;    ///< latest look at their pace
    int recent_failures = 0;     ///< failed runs less finished ones, not below 0
    /// Tasks with a run here; key: workflow::write_task_name.
    std::map<std::string, workflow::task_name> runs;
};

/// A run that has to be stopped although no entry stands for it.
struct stray_run
{
    std::string host;
    std::string task;
    std::int64_t number = 0;
};

/// A start that was given up with its host's leases, and may be carried out once it has one anew.
struct given_up_start
{
    workflow::task_name task;
    std::int64_t number = 0;
    bool stop_in_flight = false;
    core::mono_time stop_again; ///< earliest repeat of an unanswered stop
};

/// Which host with room a short task takes.
enum class host_choice
{
    fullest,   ///< others stay empty and can move to another pool at once
    least_used ///< few tasks are lost with a host
};

inline constexpr core::name_table<host_choice, 2> host_choice_names{{
    {host_choice::fullest, "fullest"},
    {host_choice::least_used, "least_used"},
}};

/// Which job is served first when there is no room for all.
enum class job_order
{
    in_time_first, ///< those that can still meet their objective
    first_come     ///< in the order of acceptance
};

inline constexpr core::name_table<job_order, 2> job_order_names{{
    {job_order::in_time_first, "in_time_first"},
    {job_order::first_come, "first_come"},
}};

/// How tasks are placed; bench/placement_days compares.
struct placement_policy
{
    host_choice hosts = host_choice::fullest;
    job_order jobs = job_order::in_time_first;
    bool learns_times = true; ///< false: declared run times are believed
};

/// Times and bounds of the coordinator.
struct coordinator_settings
{
    placement_policy placement;
    /// Longest lease granted to a runner. Long enough to bridge a take-over (lease of the leader,
    /// election, first poll), short enough that work on a silent host restarts soon.
    core::millis runner_lease{2500};
    /// Lease of the leader itself: how long a former owner may have gone on granting leases.
    core::millis leader_lease{1200};
    /// Share by which a runner's clock may be slow.
    double clock_drift = 0.02;
    /// Beyond a lease's computed end, for delays that neither clock shows.
    core::millis lapse_margin{250};
    /// Calls to the advice service at once; it handles one at a time for each node.
    int most_asks = 4;
    /// Runners named in one call, at most: each takes the service's time.
    std::size_t most_asked = 12;
    /// Runners asked about beyond the tasks that wait.
    std::size_t more_asked = 2;
    /// After a call without an answer.
    core::millis ask_pause{300};
    /// A ticket is not used so shortly before its end: the order takes its time.
    core::millis ticket_margin{150};
    /// Between a refused start and the next of the same task.
    core::millis refusal_pause{150};
    /// Between repeats of an unanswered stop.
    core::millis stop_repeat{400};
    /// How long the list of runners may still name one that has ended: three missed reports, and
    /// as much again while the store is away.
    core::millis ended_memory{30000};
    /// A runner silent for so long has the end of its leases stored for a successor. Moves and
    /// maintenance end a runner within less, and prove it.
    core::millis silence_told{300};
    /// Lost runs of a task after which it starts only once in a while, and not at all when they are
    /// certain.
    int most_losses = 5;
    /// That while: an innocent task must not be held back for ever for what can't be cleared up.
    core::millis last_resort_wait{15000};
    /// With several lost runs that are not certain, the next start waits so long for certainty.
    core::millis doubt_wait{6000};
    /// A run that has worked for so long shows that its task isn't what crashes hosts.
    core::millis trial_time{5000};
    /// A suspect waits so long for an empty host before it is tried on the least used one.
    core::millis trial_patience{1500};
    /// Runs of one task within one term of ownership.
    std::int64_t runs_per_term = 1000;
};

/// A job whose final state is stored.
struct finished_job
{
    std::string id;
    ports::revision stored = 0; ///< of its state
};

struct fleet
{
    coordinator_settings settings;
    std::int64_t term = 0;          ///< counts owners; 0 is the first
    ports::revision term_began = 0; ///< store revision of this term's begin; the fencing token
    /// Until then no inherited task starts: the record of former owners' runners is damaged.
    core::mono_time inherited_not_before;
    std::unordered_map<std::string, std::unique_ptr<job_entry>> jobs;
    std::unordered_set<std::string> open_jobs; ///< not final, or with live runs
    std::map<std::string, host_entry> hosts;   ///< by runner id
    coordinator::learnt learnt;                ///< from runs of this term
    /// Runners whose life has certainly ended, and when that was learnt; the list of runners may
    /// name them for a while.
    std::map<std::string, core::mono_time> ended;
    /// By runner id; until each is confirmed as stopped the runner gets no lease and no start.
    std::map<std::string, std::vector<given_up_start>> given_up;
    int asks_out = 0;                         ///< calls to the advice service
    std::vector<stray_run> strays;            ///< to be stopped
    std::map<std::string, loss_doubt> doubts; ///< by id of the silent runner
    std::set<std::string> lost_prior_hosts;   ///< pools with hosts that ended before the first look
    /// Since when suspects of a pool have waited for an empty host.
    std::map<std::string, core::mono_time> trials_wait;
    std::vector<std::string> dirty; ///< jobs whose progress has to be stored
    /// Jobs whose final state is stored, by the wall time of their end in milliseconds.
    std::multimap<std::int64_t, finished_job> finished;
    std::set<std::string> stray_cancels; ///< of jobs that were final before their cancel came
};

/// What happened to a task, for the log.
struct task_event
{
    std::string what; ///< the decision or the belief that changed
    std::string task;
    std::int64_t run = 0;
    std::string host;
    std::string reason; ///< the inputs that decided
};

using task_events = std::vector<task_event>;

/// A runner as the platform lists it.
struct host_listing
{
    ports::runner_ref ref;
    std::string pool;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    workflow::resources capacity;
    bool draining = false;

    bool operator==(const host_listing&) const = default;
};

/// A runner that a former owner used.
struct prior_host
{
    ports::runner_ref ref;
    std::string machine; ///< whose life it is; empty: not known
    std::string pool;    ///< that its runs are of; empty: not known
    /// All leases that were ever granted end within this time after the record was read, by the
    /// clock of the one who stored it; nothing: leases may still be granted by a former owner.
    std::optional<core::millis> rest;
};

} // namespace camphorhitch::coordinator
