/// \file
/// Fake hosts with runners, and the fake machine service that moves and maintains them. The fakes
/// check what the runners are made to do.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "hosted/formats.hpp"
#include "hosted_fakes/store.hpp"
#include "ports/machines.hpp"
#include "ports/runners.hpp"
#include "workflow/model.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::hosted_fakes
{

/// How the tasks of a test behave.
struct task_behaviour
{
    core::millis run_time{400}; ///< mean; each run takes 50% to 150% of it
    double failure_share = 0;   ///< share of runs that end as failed
    /// Time between the checkpoints of a task of a step with checkpoints; 0: it writes none.
    core::millis checkpoint_interval{0};
};

/// Tasks that crash their runner's process.
struct task_crashes
{
    /// \return whether the task crashes its runner; null: no task does.
    std::function<bool(const workflow::task_name&)> task;
    core::millis after{10};  ///< time from the start of the task to the crash
    core::millis down{3500}; ///< time until the machine's next incarnation of the runner
};

/// Calls to a runner that a test can hold back.
enum class runner_call
{
    start,
    stop,
    throttle,
    poll,
    poll_end ///< the list after a poll's wait
};

/// One run on a runner.
struct fake_run
{
    std::int64_t number = 0;
    core::mono_time started_at;
    bool stopping = false;
    std::string resumed_from;  ///< checkpoint in the start order
    std::string checkpoint;    ///< newest checkpoint
    core::millis work_left{0}; ///< at full speed, from throttled_at on
    int cpu_percent = 100;
    core::mono_time throttled_at{}; ///< when cpu_percent was last ordered; zero: never
    int throttle_changes = 0;
};

/// A machine with the present incarnation of its runner.
struct fake_host
{
    std::string machine;
    std::string pool;
    std::string runner;
    std::int64_t born_ms = 0;           ///< start of the incarnation, in milliseconds since 1970
    core::mono_time born_at;            ///< the same on the virtual clock
    std::int64_t clock_at_birth_ms = 0; ///< the runner's own clock at its start
    std::string address;
    workflow::resources capacity{8000, 65536, 0};
    core::mono_time capacity_reduced_at;   ///< when the capacity was last reduced
    std::int64_t cpu_before_reduction = 0; ///< milli-cores before that reduction
    bool up = true;                        ///< the runner's process is running
    bool cut_off = false;                  ///< unreachable, and its process continues
    bool draining = false;
    bool has_answered = false;       ///< a call that names this incarnation was answered
    double clock_rate = 1;           ///< of the runner's steady clock, which its leases count by
    std::int64_t fence = 0;          ///< highest fencing token seen
    std::int64_t lease_until_ms = 0; ///< on the runner's clock
    std::map<std::string, fake_run> runs; ///< by task
    /// By task: highest run number that the runner will not start any more.
    std::map<std::string, std::int64_t> refused_through;
    std::vector<ports::reported_end> ends;
    std::int64_t last_end = 0;
    std::map<std::int64_t, core::mono_time> ended_at; ///< by number of the end
    /// Ends up to this number were not acknowledged before the lease expired. The coordinator that
    /// granted the lease may take the runs for lost and start the tasks again, so a later
    /// acknowledgement does not count.
    std::int64_t ends_void_through = 0;
    std::vector<std::function<void()>> polls; ///< open polls that wait for an end
};

class hosts
{
public:
    hosts(daemon_fakes::virtual_time& time, store& kv, std::uint64_t seed);
    hosts(const hosts&) = delete;
    hosts& operator=(const hosts&) = delete;

    /// Adds a machine with a running runner. \return its name.
    std::string add(const std::string& pool);
    /// \return the present incarnation of the machine's runner, as the nodes name it.
    std::string incarnation_of(const std::string& machine) const;
    /// Ends the runner's process; its next incarnation begins after \p down.
    void crash(const std::string& machine, core::millis down);
    /// Begins the next incarnation on a machine whose runner has crashed.
    void restart(const std::string& machine);
    /// Cuts the runner off from the nodes and the store for a time; its process continues.
    void cut(const std::string& machine, core::millis how_long);
    void drain(const std::string& machine);
    /// Changes the capacity while the runner runs, regardless of its runs.
    /// \param cpu milli-cores
    void resize(const std::string& machine, std::int64_t cpu);
    /// \param stated whether entries and answers state the start time from now on
    void state_start_times(bool stated);
    /// Adds a machine at the address of one that is cut off, as a platform reuses addresses.
    /// \return the new machine's name.
    std::string transfer_address(const std::string& machine);
    /// Cuts \p from off while its process continues, and gives its address to a new incarnation on
    /// \p to. After \p cut_off_time \p from begins a new incarnation at another address.
    void transfer_address(
        const std::string& from, const std::string& to, core::millis cut_off_time);

    /// Holds back the next calls of a kind that reach the machine. The sender of a held call gets
    /// no answer, unless the call is released within its timeout.
    void hold_next(runner_call kind, const std::string& machine, int calls = 1);
    std::size_t held_calls() const;
    /// Carries out the held calls now, at whichever incarnation has the id that they name.
    void release_held();
    /// The same for one call.
    /// \param index in the order in which the calls were held
    void release_held(std::size_t index);
    /// Loses the held calls.
    void drop_held();

    ports::runners runner_port(daemon_fakes::process& p);
    ports::machines machine_port(daemon_fakes::process& p);

    /// \return the formats of this platform's stored texts.
    hosted::formats formats() const;

    /// Changes what a workspace may have running, as the operators do: for cap_change_delay the
    /// caps before may be in force too.
    void set_cap(const std::string& workspace, std::int64_t cpu);

    /// Registers a job with the checks; to be called before its acceptance.
    void expect(const workflow::job& j);

    /// \return a violation for each job that is stored as failed although none of its tasks used up
    /// its attempts or crashed two runners.
    std::vector<std::string> failed_without_cause() const;

    /// \return how many runners the task has crashed.
    int crashes_of(const std::string& task) const;

    task_behaviour behaviour;
    task_crashes crashes;
    bool checks_fencing_tokens = true; ///< false: runners accept orders of any coordinator
    /// Runners accept a start whose own lease has ended while another lease of theirs lasts.
    bool accepts_starts_under_any_lease = false;
    /// Share of restarts in which a runner keeps its id; the others give it a new one.
    double kept_id_share = 0;
    /// Clock of the next incarnation at its start; empty: a clock unrelated to that of the others.
    std::optional<std::int64_t> next_clock_at_birth_ms;
    /// Share of starts, stops and throttles that get no answer and are carried out seconds later.
    double late_order_share = 0;
    /// A late call is carried out even if its runner has started again under its id meanwhile;
    /// otherwise it is lost with the process. A start is lost where no coordinator could prevent
    /// its harm: see loses_late_start().
    bool late_calls_outlive_process = false;
    int machine_answers_to_lose = 0; ///< number of next machine orders, carried out unanswered
    /// Share of polls that get no answer and take effect seconds later: leases are granted and ends
    /// acknowledged late.
    double late_poll_share = 0;
    double slow_answer_share = 0;             ///< share of answers that later ones may overtake
    std::vector<std::string> broken_promises; ///< violations, each with its time and task
    std::int64_t starts = 0;
    std::int64_t expired_runs = 0; ///< runs that ended with their lease, on reachable runners
    /// Stricter than the promise, for tests in which only a node's own delay goes wrong: a task
    /// must not start again once an answer has reported its end for this long. 0: only the
    /// acknowledgement of its end forbids a further start.
    core::millis reported_end_binding_after{0};
    std::set<std::string> started_jobs;        ///< jobs of which a task has started
    std::set<std::string> completed_tasks;     ///< tasks that ended done with an acknowledged end
    std::map<std::string, fake_host> machines; ///< by name

private:
    template <class Answer>
    void call(daemon_fakes::process& p,
        const ports::runner_ref& to,
        runner_call kind,
        std::function<Answer(fake_host&)> serve,
        std::function<void(Answer)> done,
        const std::string& started_task = {});
    ports::runner_answer start(fake_host& h, const ports::start_order& o);
    ports::runner_answer stop(fake_host& h, const ports::stop_order& o);
    ports::runner_answer throttle(fake_host& h, const ports::throttle_order& o);
    ports::poll_answer poll(fake_host& h, const ports::poll_order& o);
    /// \return false for a token that is lower than one that the incarnation has seen.
    bool accept_token(fake_host& h, std::int64_t token) const;
    ports::poll_answer list_runs(const fake_host& h);
    void grant(fake_host& h, std::int64_t until);
    void schedule_lease_end(const fake_host& h);
    void schedule_finish(const fake_host& h, const std::string& task);
    void finish_run(const std::string& machine, const std::string& task, std::int64_t run);
    /// Calls \p then after the time if the host's incarnation is still there.
    void after_in_life(
        const fake_host& h, core::millis delay, std::function<void(fake_host&)> then);
    void end_run(fake_host& h, const std::string& task, ports::run_end outcome);
    void begin_incarnation(fake_host& h);
    bool keeps_id(const fake_host& h);
    void publish(const fake_host& h);
    /// Removes the entry of an incarnation, unless a later one has replaced it.
    void remove_entry(const std::string& runner, std::int64_t born_ms);
    void acknowledge_end(const fake_host& h, const ports::reported_end& it);
    void check_reported_end(const std::string& task);
    void check_start(const fake_host& h, const ports::start_order& o);
    /// Checks that all members of a gang's run resume from one checkpoint.
    void check_gang_checkpoint(const ports::start_order& o);
    /// Lets the run write its next checkpoint after task_behaviour::checkpoint_interval.
    void schedule_checkpoint(const fake_host& h, const std::string& task, std::int64_t run);
    /// Checks that a start keeps its workspace within its cap.
    void check_cap(const workflow::job& j, const std::string& task, std::int64_t cpu);
    ports::machine_verdict shut_down(const std::string& machine, const std::string& pool);
    void order_machine(daemon_fakes::process& p,
        std::function<ports::machine_verdict()> carry_out,
        std::function<void(ports::machine_verdict)> done);
    void check_crashes(const std::string& task);
    /// Ends the other members of the task's gang.
    void end_gang(const std::string& task);
    void schedule_crash(const fake_host& h, const ports::start_order& o);
    void record_violation(const std::string& what);
    std::int64_t clock() const;
    std::int64_t clock_of(const fake_host& h) const;
    bool draws_late(runner_call kind);
    bool takes_hold(runner_call kind, const ports::runner_ref& to);
    void record_answer(const ports::runner_ref& to);
    bool loses_late_start(const ports::runner_ref& to, const std::string& task);
    core::millis draw_answer_delay();
    fake_host* find_host(const ports::runner_ref& r);

    daemon_fakes::virtual_time& time_;
    store& store_;
    std::mt19937_64 random_;
    std::map<std::string, workflow::job> jobs_;
    std::map<std::pair<runner_call, std::string>, int> holds_; ///< calls to hold, by machine
    std::vector<std::function<void()>> held_;                  ///< each carries one call out
    /// By workspace: its caps in milli-cores, each with the time of the change.
    std::map<std::string, std::vector<std::pair<core::mono_time, std::int64_t>>> caps_;
    std::set<std::string> ended_done_;                     ///< tasks that ended done
    std::map<std::string, core::mono_time> started_;       ///< by task: its latest start
    std::map<std::string, core::mono_time> reported_done_; ///< by task: first answer with its end
    std::map<std::string, int> failures_;
    std::set<std::pair<std::int64_t, std::string>> maintained_; ///< wave and machine
    std::map<std::string, int> ended_failed_;        ///< by task: failed runs, acknowledged or not
    std::map<std::string, int> crashed_;             ///< by task: runners that it crashed
    std::map<std::string, int> starts_past_crashes_; ///< by task: starts after max_crashes crashes
    bool states_start_times_ = true;
    int last_incarnation_ = 0;
    std::int64_t lives_ = 0; ///< number of incarnations of all runners
    int last_address_ = 0;   ///< number of addresses given out after a transfer
};

} // namespace camphorhitch::hosted_fakes
