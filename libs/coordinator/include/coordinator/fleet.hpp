/// \file
/// State that the coordinator keeps: the jobs, their runs, and the runners that execute them.
///
/// In this library a host_entry stands for one runner process; a machine is the server of the
/// platform on which that process lives. A host id is the text of an incarnation
/// (ports::write_incarnation): after a restart the runner has another host id, also when it keeps
/// the id that the platform gave it. A term is the time during which one coordinator
/// leads; the coordinators of earlier terms are called previous coordinators. All core::mono_time
/// values are read from the clock of this process.
#pragma once

#include "coordinator/completion_forecast.hpp"
#include "coordinator/run_time_estimates.hpp"
#include "coordinator/share_accounts.hpp"
#include "coordinator/workspaces.hpp"
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

/// What the coordinator knows about the progress of one run on its runner.
enum class run_phase
{
    ordered,   ///< the start order was sent and has no answer yet
    unsettled, ///< the answer was lost: the run may be active, or may still start seconds later
    running,   ///< the runner confirmed the run
    stopping   ///< a stop was requested; the run occupies its resources until its end is certain
};

inline constexpr core::name_table<run_phase, 4> run_phase_names{{
    {run_phase::ordered, "ordered"},
    {run_phase::unsettled, "unsettled"},
    {run_phase::running, "running"},
    {run_phase::stopping, "stopping"},
}};

/// One start of a task on one runner.
struct run_entry
{
    std::int64_t number = 0; ///< unique among the runs of the task; members of a gang share it
    std::string host;        ///< id of the runner
    run_phase phase = run_phase::ordered;
    core::mono_time ordered_at; ///< when the start was ordered; for an adopted run, when found
    bool adopted = false;       ///< a previous coordinator started it: its start time is unknown
    /// An adopted run that a previous coordinator may have had stopped: a runner lists a run as
    /// active until it has ended, up to coordinator_settings::max_stop_time after the stop.
    bool may_be_stopping = false;
    bool resumed = false;         ///< started from a checkpoint, so shorter than a complete run
    bool confirmed = false;       ///< the runner has reported this run as active
    core::mono_time confirmed_at; ///< when it first did
    /// A poll of this incarnation has listed the run. The answer to a start does not name the
    /// incarnation, so that alone a run may be active on the next one.
    bool listed = false;
    /// Each send of the start has an answer. An unanswered one may begin the run once more on the
    /// next incarnation, which doesn't know it.
    bool all_sends_answered = false;
    /// The start was sent to an earlier incarnation, which may have ended because of it.
    bool sent_to_earlier = false;
    bool confirmed_earlier = false; ///< that start was answered as done
    bool after_loss = false;   ///< earlier runs of the task were lost together with their runners
    bool isolated = false;     ///< run of a suspect: its host receives no other task meanwhile
    bool only_suspect = false; ///< no other task on its host is suspected of crashing hosts
    /// When the phase last changed. A poll that was sent before this time does not show whether the
    /// run has ended.
    core::mono_time phase_changed_at;
    bool stop_in_flight = false;   ///< a stop order was sent and has no answer yet
    bool stop_confirmed = false;   ///< the runner accepted the stop: it never starts this run
    core::mono_time stop_retry_at; ///< an unanswered stop is not repeated before this time
    int progress_percent = 0;      ///< share of the work that is done, as last reported, 0 to 100
    std::int64_t load_metric = 0;  ///< latest ports::reported_run::load_metric
    int cpu_percent = 100;         ///< share of processor time that was last ordered, 0 to 100
    /// False until this coordinator has ordered a share from this incarnation, if the run was
    /// started by another coordinator or on an earlier incarnation.
    bool cpu_percent_known = true;
    /// Until then cpu_percent is ordered again, since an earlier order may still take effect.
    core::mono_time throttle_again_until;
    /// Thousandths of a core that it counts with in the accounts of shares, by its dominant
    /// resource; 0 unless share_rule::work is in force.
    std::int64_t share_cpu = 0;
    double share_charge = 0; ///< core-seconds that its accounts were charged with at its start
};

/// One task of a job, with its active runs.
struct task_entry
{
    workflow::task_progress progress;
    std::int64_t highest_run_number = 0; ///< no runner can have received a higher run number
    std::vector<run_entry> runs;
    std::vector<std::string> failed_on; ///< runner ids that are avoided while others are available
    core::mono_time not_before; ///< after a refused start, the task does not start before this time
    /// Number of latest starts that were refused as superseded, without an accepted one since.
    int superseded_starts = 0;
    /// When the newest loss was recorded in this term, or, for losses of earlier terms only, when
    /// this coordinator first evaluated them; zero: neither has happened.
    core::mono_time last_loss_at;
    /// A previous coordinator may have ordered a run that was lost before anyone saw it. The
    /// possible run counts as a loss once the task has at least one known lost run.
    bool may_have_unseen_start = false;
    /// Such a run is not counted as a loss, since nothing else shows that hosts were lost then; it
    /// still counts for the bound on the starts of a task that crashes its hosts.
    bool has_untraced_start = false;
    /// Number of the isolated run that is stored among the lost runs before it starts, so that the
    /// next coordinator counts it if it crashes its host; 0: none.
    std::int64_t reserved_run_number = 0;
    bool withheld_logged = false; ///< start_withheld was logged since the newest lost run
};

/// Runs that are lost if an unresponsive runner has crashed, which is not yet certain.
struct uncertain_loss
{
    std::string machine;   ///< machine of the runner; empty: unknown
    core::mono_time since; ///< when its runs were abandoned; zero: in a previous term
    std::vector<std::pair<workflow::task_name, std::int64_t>> runs; ///< task and run number
};

/// Permission of the platform's advice service to run the tasks of a step on one runner.
struct host_ticket
{
    std::string text;      ///< opaque; sent with the start order
    core::mono_time until; ///< not used from this time on
};

/// What the platform's advice service has answered for one step.
struct step_advice
{
    std::map<std::string, host_ticket> tickets; ///< by runner id
    std::set<std::string> rejected_hosts;       ///< ids of runners that may never run the step
    bool request_in_flight = false;
    core::mono_time not_before; ///< the next request is not sent before this time
};

/// Counts over the tasks of one step of one occurrence.
struct step_entry
{
    int done = 0;
    int idle = 0; ///< tasks that are neither done nor have a run
    /// When the last task of the steps it depends on became done in this term; zero: the step
    /// depends on none, or they were done before this term.
    core::mono_time ready_at;
};

/// What the latest completion forecast expects of a job.
struct job_forecast
{
    std::optional<job_outlook> outlook; ///< empty: none, the pool has no capacity or no forecast
    std::optional<job_outlook> first_outlook;
    core::mono_time due;          ///< its objective
    core::mono_time latest_start; ///< with a start of its remaining tasks by then it is in time
};

/// Wrong first outlooks of jobs that were completed.
struct forecast_error_counts
{
    std::int64_t in_time_missed = 0; ///< expected in time, completed after the objective
    std::int64_t late_made = 0;      ///< expected late, completed within the objective
};

/// A job that the coordinator has read from the store.
struct job_entry
{
    workflow::job spec;
    workflow::job_state state = workflow::job_state::queued;
    bool cancelled = false; ///< a cancel was accepted
    bool inherited = false; ///< accepted before this term: a previous coordinator may have run it
    bool dirty = false;     ///< the stored progress is older than this entry
    /// Its workspace had sent as many jobs as its weight within the second before.
    bool beyond_share = false;
    job_forecast forecast;                   ///< with placement_policy::forecasts
    std::int64_t batch_share_cpu = 0;        ///< run_entry::share_cpu of its batch runs together
    std::int64_t long_running_share_cpu = 0; ///< of its runs of long-running steps
    ports::revision accepted_revision = 0;   ///< store revision at which the job was accepted
    ports::revision stored_revision = 0;     ///< store revision of the stored progress; 0: none
    core::mono_time added_at;       ///< when the coordinator first read the job; zero: unknown
    std::int64_t ended_unix_ms = 0; ///< wall time at which its end was first stored; 0: not yet
    /// By workflow::task_index(); empty when the final state is stored and no run is left.
    std::vector<task_entry> tasks;
    std::vector<step_entry> steps; ///< by occurrence and step
    /// By the index in steps; only for jobs that need advice.
    std::map<std::size_t, step_advice> advice;
    std::size_t live_runs = 0;
    std::size_t done_tasks = 0;
    int losses = 0; ///< entries in workflow::task_progress::lost_runs over all tasks
    /// Number of losses and reservations that this coordinator recorded, how many of them the
    /// newest write of the progress contains, and how many are stored. A task with lost runs
    /// starts only when all are stored, since the next coordinator counts from the store.
    std::int64_t losses_recorded = 0;
    std::int64_t losses_written = 0;
    std::int64_t losses_stored = 0;
};

/// Whether the coordinator itself has closed a host to new tasks.
enum class host_availability
{
    open,
    closed_for_maintenance,
    closed_for_move, ///< the host is moving to another pool
    closed_as_busy   ///< its machine refused to move, which may mean that it leaves
};

/// From this host_entry::contact_score on, a missing answer is attributed to the runner.
inline constexpr int min_contact_score = 2;

/// A poll or renewal that has no answer, and may yet count for host_entry::contact_score.
struct unanswered_call_entry
{
    core::mono_time sent_at;
    core::mono_time given_up_at;
    int score = 0; ///< what it adds; 0: there is no such call
};

/// One runner, as the coordinator sees it.
struct host_entry
{
    ports::runner_ref ref;
    std::string pool;
    std::string zone;
    std::string rack;
    std::string machine;              ///< id of its machine, from the machine list; empty: unknown
    core::mono_time machine_known_at; ///< when that list was requested or the record was read
    std::vector<std::string> labels;
    workflow::resources capacity;
    bool listed = false;          ///< the newest list of runners contains it
    bool entry_conflicts = false; ///< its listed address or pool differs from the known one
    bool draining = false;        ///< the platform is about to take the host away
    host_availability availability = host_availability::open;
    core::mono_time closed_at; ///< when availability last changed from open to closed
    /// The stored record of runners in use contains it without an earlier end of its leases, so the
    /// next coordinator waits for them. Only such runners are granted leases and receive starts.
    bool recorded = false;

    /// A previous coordinator may have ordered runs here that this one has not seen in a poll.
    bool inherited = false;
    /// How certain it is that the runner was asked in this term. A call that was answered adds 2.
    /// One without an answer adds 2 as well, or 1 if it was not sent, since the fault may be in
    /// this process or in a relay; but only once a call to another runner that was sent while it
    /// was open has been answered. Compared with min_contact_score.
    int contact_score = 0;
    unanswered_call_entry unanswered_call; ///< the latest one that is not counted yet
    bool reachable = false;                ///< the latest poll or renewal was answered
    bool address_lost = false;          ///< the latest answer from its address was another runner's
    core::mono_time unresponsive_since; ///< when reachable became false
    core::mono_time added_at;
    core::mono_time last_answer_at; ///< latest answer to a poll or renewal; zero: none in this term
    core::mono_time polled_at;      ///< when the latest poll was sent; zero: none in this term
    std::int64_t clock_ms = -1;     ///< the runner's clock in its newest answer; -1: none yet
    core::mono_time clock_read_at;  ///< when that answer arrived
    std::int64_t lease_until_ms = 0; ///< latest possible end of its leases, on the runner's clock
    /// By this time all leases granted by previous coordinators, or for an earlier incarnation,
    /// have certainly ended.
    core::mono_time inherited_leases_end_at;
    bool has_restarted = false; ///< replaced an earlier incarnation in this term

    /// Set while a call that was meant for an earlier incarnation may still take effect here: no
    /// such call has a higher token. Once a call with a higher one was answered, the runner refuses
    /// them all.
    std::optional<std::int64_t> earlier_calls_token;
    /// By this time all leases that calls for earlier incarnations may have granted here have
    /// ended; zero: there are none.
    core::mono_time earlier_leases_end_at;

    workflow::resources used;          ///< by all runs, including stopping and unsettled ones
    std::size_t orphaned_runs = 0;     ///< reported runs without an open task; resources unknown
    std::int64_t last_applied_end = 0; ///< highest number of an end that was applied
    std::int64_t last_stored_end = 0;  ///< ends up to this number are stored
    std::int64_t acknowledged_end = 0; ///< an answered poll has acknowledged ends up to this number
    int best_effort_runs = 0;          ///< runs of best-effort steps
    int runs_after_loss = 0;           ///< runs of tasks that lost earlier runs with their hosts
    int isolated_runs = 0;             ///< runs of suspects; above 0 the host takes no other task
    core::mono_time throttled_at;      ///< when throttling of its runs was last evaluated
    int recent_failures = 0;           ///< failed runs minus finished ones, not below 0
    /// Tasks, by the same text as in runs, with a run that was removed while a send of its start
    /// had no answer, and when the latest such run was ordered.
    std::map<std::string, core::mono_time> unanswered_starts;
    /// Tasks with a run here, by workflow::write_task_name().
    std::map<std::string, workflow::task_name> runs;
};

/// A reported run that must be stopped because no open task has an entry for it.
struct orphaned_run
{
    std::string host; ///< id of the runner
    std::string task; ///< name as the runner reported it
    std::int64_t number = 0;
};

/// A start that was abandoned when all leases of its runner had ended, or the runner itself,
/// without an answer to the order. The runner, in this or its next incarnation, could still carry
/// the order out under a new lease, so it is stopped first.
struct abandoned_start
{
    workflow::task_name task;
    std::int64_t number = 0;
    bool stop_in_flight = false;
    core::mono_time stop_retry_at; ///< an unanswered stop is not repeated before this time
};

/// Which of the hosts with free capacity receives a short task.
enum class host_choice
{
    fullest,   ///< other hosts stay empty and can move to another pool at once
    least_used ///< few tasks are lost with one host
};

inline constexpr core::name_table<host_choice, 2> host_choice_names{{
    {host_choice::fullest, "fullest"},
    {host_choice::least_used, "least_used"},
}};

/// Which job is served first when there is not enough capacity for all.
enum class job_order
{
    in_time_first, ///< jobs that can still meet their objective come first
    first_come     ///< in the order of acceptance
};

inline constexpr core::name_table<job_order, 2> job_order_names{{
    {job_order::in_time_first, "in_time_first"},
    {job_order::first_come, "first_come"},
}};

/// How host_choice::fullest compares hosts.
enum class packing_rule
{
    cores,    ///< the host with the fewest free cores comes first
    dominant, ///< the host with the highest dominant share comes first
    best_fit  ///< the host whose resources are used most evenly comes first
};

inline constexpr core::name_table<packing_rule, 3> packing_rule_names{{
    {packing_rule::cores, "cores"},
    {packing_rule::dominant, "dominant"},
    {packing_rule::best_fit, "best_fit"},
}};

/// Weighted shares in resource-time, with share_rule::work.
struct share_settings
{
    /// Time constant of the exponential decay of what was used.
    core::millis window{10000};
    bool by_queue = false; ///< queues are a further level
    bool by_zone = false;  ///< so are the availability zones of callers
};

/// How tasks are placed on hosts; bench/placement_days compares the variants.
struct placement_policy
{
    host_choice hosts = host_choice::fullest;
    packing_rule packing = packing_rule::cores;
    job_order jobs = job_order::in_time_first;
    /// The completion forecast determines which jobs can be in time; otherwise each job is
    /// evaluated as if it had the pool to itself.
    bool forecasts = false;
    share_rule shares = share_rule::rate;
    share_settings share;
    bool uses_measured_run_times = true; ///< false: only declared run times are used
};

/// Times and bounds of the coordinator.
struct coordinator_settings
{
    placement_policy placement;
    forecast_settings forecast;
    /// Duration of a lease granted to a runner. Long enough to outlast a takeover (the leader's
    /// lease, the election, the first poll), short enough that the work of an unresponsive host
    /// restarts soon.
    core::millis runner_lease{2500};
    /// Longest lease that a runner accepts: it shortens longer ones.
    core::millis max_runner_lease{10000};
    /// Duration of the leader's own lease: for so long a previous coordinator may have continued to
    /// grant leases.
    core::millis leader_lease{1200};
    /// Largest share by which the clock of another process may run slower than this one's.
    double clock_drift = 0.02;
    /// Added to the computed end of a lease, for delays that neither clock shows.
    core::millis lease_expiry_margin{250};
    /// Concurrent calls to the advice service, which handles one at a time for each node.
    int max_advice_requests = 4;
    /// Runners named in one advice request; each takes processing time of the service.
    std::size_t max_runners_per_request = 12;
    /// Runners named in an advice request beyond the number of waiting tasks, since some of them
    /// may be rejected.
    std::size_t extra_runners_asked = 2;
    /// Delay before the next advice request for a step after one without an answer.
    core::millis advice_retry_delay{300};
    /// A ticket is not used within this time before its end, since the order takes time to arrive.
    core::millis ticket_margin{150};
    /// Delay between a refused start and the next start of the same task.
    core::millis refused_start_delay{150};
    /// Maximum time for which a run still works, and is listed as active, after its runner accepted
    /// a stop.
    core::millis max_stop_time{1000};
    /// For how long a call without an answer may still be carried out.
    core::millis max_late_call{15000};
    /// Delay before an unanswered stop is repeated.
    core::millis stop_retry_delay{400};
    /// How long the list of runners may still contain a runner that has ended: the time for three
    /// missed reports, and the same again while the store is unavailable.
    core::millis ended_runner_retention{30000};
    /// When a runner has been unresponsive for this long, the end of its leases is stored for the
    /// next coordinator. Moves and maintenance end a runner in less time, with proof of its end.
    core::millis lease_end_record_delay{300};
    /// Number of lost runs from which the job of a task that crashes its runners fails. While that
    /// is not proven, the task starts only after last_resort_wait, or after uncertain_loss_wait if
    /// some of its runs survived their start.
    int last_resort_losses = 5;
    /// Delay between the starts of such a task. It is finite because a task that crashes no host
    /// must not be withheld forever when the cause of its losses can't be determined.
    core::millis last_resort_wait{15000};
    /// A task with several lost runs, not all of them certain, waits this long before its next
    /// start for evidence of whether they were lost.
    core::millis uncertain_loss_wait{6000};
    /// A run that has been active for this long shows that its task does not crash hosts.
    core::millis isolation_time{5000};
    /// A run whose runner answered after this time since it confirmed the run was not lost by its
    /// start.
    core::millis startup_crash_time{250};
    /// A suspect waits this long for an empty host, then its isolated run is placed on the least
    /// used host.
    core::millis isolation_max_wait{1500};
    /// Run numbers reserved for each task in one term: the numbers of a term start above those of
    /// all earlier terms. They last a task that is started 30 times a second for 100 days, and
    /// max_term() is 33 million.
    std::int64_t runs_per_term = std::int64_t{1} << 28;
};

/// A job whose final state is stored.
struct finished_job
{
    std::string id;
    ports::revision stored_revision = 0; ///< store revision of the final state
};

/// The whole state of the coordinator during one term.
struct fleet
{
    coordinator_settings settings;
    std::int64_t term = 0;                   ///< number of terms before this one, up to max_term()
    ports::revision term_start_revision = 0; ///< store revision at its start; its first token
    /// Store revision of the newest write that succeeded on the condition that this coordinator
    /// leads: not below any token that it has used, and below that of each of its successors.
    ports::revision newest_token = 0;
    /// No inherited task starts before this time, because the stored record of the previous
    /// coordinator's runners is damaged; zero: the record was readable.
    core::mono_time inherited_not_before;
    std::unordered_map<std::string, std::unique_ptr<job_entry>> jobs; ///< by job id
    std::unordered_set<std::string> open_jobs; ///< ids of jobs that are not final or have live runs
    std::map<std::string, host_entry> hosts;   ///< by runner id
    /// When polls and renewals that were answered in this term were sent, for the newest seconds.
    std::set<core::mono_time> answered_calls_sent_at;
    workspace_table workspaces;
    share_table shares;
    coordinator::run_time_estimates run_time_estimates; ///< from runs of this term
    /// By pool, from the latest plan; empty without placement_policy::forecasts.
    std::map<std::string, pool_forecast> forecasts;
    /// By pool: capacity of hosts that are moving to it, and when it is expected to be usable. Set
    /// by the caller of plan_moves with arriving_capacity().
    std::map<std::string, std::vector<capacity_step>> arriving_capacity;
    std::map<std::string, forecast_error_counts> forecast_errors; ///< by pool, in this term
    /// Runners that have certainly ended, by runner id, with the time at which this became known.
    /// The list of runners may still contain them for ended_runner_retention.
    std::map<std::string, core::mono_time> ended_runners;
    /// Hosts that were removed, by id, with the time of their removal; for ended_runner_retention.
    std::map<std::string, core::mono_time> removed_hosts;
    /// Fencing tokens of the calls to runners that have started again in this term, by the id that
    /// the platform gave the runner. The calls to all others carry term_start_revision.
    std::map<std::string, std::int64_t, std::less<>> raised_tokens;
    /// By runner id. The runner receives no lease and no start until all of these are confirmed as
    /// stopped.
    std::map<std::string, std::vector<abandoned_start>> abandoned_starts;
    int advice_requests_in_flight = 0;
    std::vector<orphaned_run> orphaned_runs;                ///< runs that must be stopped
    std::map<std::string, uncertain_loss> uncertain_losses; ///< by id of the unresponsive runner
    /// Pools with an inherited host that ended or expired before this coordinator saw its runs.
    std::set<std::string> pools_with_lost_hosts;
    /// By pool: since when its suspects have been waiting for an empty host.
    std::map<std::string, core::mono_time> isolation_wait_since;
    std::vector<std::string> dirty_jobs; ///< ids of jobs whose progress must be stored
    /// Jobs whose final state is stored, by the wall time of their end in milliseconds since 1970.
    std::multimap<std::int64_t, finished_job> finished_jobs;
    std::set<std::string> late_cancels; ///< ids of jobs that were final when their cancel arrived
};

/// Something that happened to a task, for the log.
struct task_event
{
    std::string event;    ///< name of the log event
    std::string task;     ///< task, step or job; empty: none
    std::int64_t run = 0; ///< run number; 0: none
    std::string host;     ///< id of the runner; empty: none
    std::string reason;   ///< the inputs of the decision
};

using task_events = std::vector<task_event>;

/// A runner as it is listed in the store.
struct host_listing
{
    ports::runner_ref ref;
    std::string pool;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    workflow::resources capacity;
    bool draining = false; ///< the platform is about to take the host away

    bool operator==(const host_listing&) const = default;
};

/// A runner that previous coordinators used, as it was stored.
struct inherited_host
{
    ports::runner_ref ref;
    std::string machine; ///< id of its machine; empty: unknown
    std::string pool;    ///< pool of its runs; empty: unknown
    /// All leases that were ever granted to the runner end within this time after the record was
    /// read, measured by the clock of the coordinator that stored it. Empty: a previous coordinator
    /// may still grant leases; they are shorter than the longest that a runner accepts.
    std::optional<core::millis> remaining;
};

} // namespace camphorhitch::coordinator
