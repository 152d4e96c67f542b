/// \file
/// Hosts with runners, and the service that moves and maintains them. Checks what the runners do.
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
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::hosted_fakes
{

/// How the tasks of a test behave.
struct task_behaviour
{
    core::millis run_time{400};
    double fails = 0; ///< share of runs that end failed
};

/// Tasks that take their runner's process down.
struct task_crashes
{
    std::function<bool(const workflow::task_name&)> task; ///< whether it is one; null: none is
    core::millis after{10};                               ///< from its start
    core::millis down{3500};                              ///< until the machine's next life
};

/// One run on a runner.
struct fake_run
{
    std::int64_t number = 0;
    core::mono_time began;
    bool stopping = false;
};

/// One life of a runner on a machine.
struct fake_host
{
    std::string machine;
    std::string pool;
    std::string runner;
    std::string address;
    workflow::resources capacity{8000, 65536, 0};
    core::mono_time shrunk_at;   ///< when the room last became smaller
    std::int64_t cpu_before = 0; ///< its processor share before that
    bool up = true;              ///< a process answers
    bool dark = false;           ///< cut off from all, and runs on
    bool draining = false;
    double clock_rate = 1; ///< of its steady clock; leases are counted by it
    std::int64_t fence = 0;
    std::int64_t lease_until_ms = 0;
    std::map<std::string, fake_run> runs; ///< by task
    std::map<std::string, std::int64_t>
        refused_through; ///< by task: runs that never start any more
    std::vector<ports::reported_end> ends;
    std::int64_t last_end = 0;
    std::map<std::int64_t, core::mono_time> ended_at; ///< by number of the end
    /// Ends up to here were not acknowledged before the lease lapsed: who granted it may take the
    /// runs for lost and start the tasks anew, so a later acknowledgement takes note of nothing.
    std::int64_t void_through = 0;
    std::vector<std::function<void()>> polls; ///< that wait for an end
};

class hosts
{
public:
    hosts(daemon_fakes::virtual_time& time, store& kv, std::uint64_t seed);
    hosts(const hosts&) = delete;
    hosts& operator=(const hosts&) = delete;

    /// Adds a machine with a running runner. \return its name.
    std::string add(const std::string& pool);
    /// The runner's process ends and another life begins \p down later.
    void crash(const std::string& machine, core::millis down);
    /// The runner is cut off from the system and the store, and runs on.
    void cut(const std::string& machine, core::millis how_long);
    void drain(const std::string& machine);
    /// The room shrinks or grows while the runner runs, whatever runs there.
    void resize(const std::string& machine, std::int64_t cpu);
    /// Another machine comes up at the address of one that is dark, as addresses are handed on.
    /// \return its name.
    std::string hand_on_address(const std::string& machine);
    /// \p from is cut off and runs on, and its address goes to a new life on \p to. After \p dark
    /// \p from begins a life at another address.
    void hand_on_address(const std::string& from, const std::string& to, core::millis dark);

    ports::runners runner_port(daemon_fakes::process& p);
    ports::machines machine_port(daemon_fakes::process& p);

    /// What the store's texts mean here.
    hosted::formats formats() const;

    /// Jobs that the checks know; call before their acceptance.
    void expect(const workflow::job& j);

    /// \return the broken promises of jobs that are stored as failed: none has a task that failed
    /// as often as it may, or that crashed two runners.
    std::vector<std::string> failed_without_cause() const;

    /// \return how many runners the task has crashed.
    int crashes_of(const std::string& task) const;

    task_behaviour behaviour;
    task_crashes crashes;
    bool checks_fences = true; ///< false: takes orders of any owner
    /// A start whose own lease has ended is taken while another lease of its runner lasts.
    bool takes_starts_by_any_lease = false;
    double orders_late =
        0; ///< share of starts and stops without an answer, carried out seconds later
    int machine_answers_to_lose = 0; ///< of the next orders for machines, which are carried out
    double polls_late = 0;   ///< the same of polls: leases granted and ends acknowledged late
    double answers_slow = 0; ///< share of answers that others overtake
    std::vector<std::string> broken; ///< promises, each with time and task
    std::int64_t starts = 0;
    std::int64_t lapsed = 0; ///< runs that ended since their lease had, on runners that were well
    /// Stricter than the promise, for tests in which nothing but a node's own delay goes wrong: an
    /// end that its owner was told of this long ago counts. 0: only an acknowledged one does.
    core::millis told_counts_after{0};
    std::set<std::string> begun;               ///< jobs of which a task has started
    std::set<std::string> done;                ///< tasks that ended done, and were taken note of
    std::map<std::string, fake_host> machines; ///< by name

private:
    template <class Answer>
    void call(daemon_fakes::process& p,
        const ports::runner_ref& to,
        bool order,
        std::function<Answer(fake_host&)> serve,
        std::function<void(Answer)> done);
    ports::runner_answer start(fake_host& h, const ports::start_order& o);
    ports::runner_answer stop(fake_host& h, const ports::stop_order& o);
    ports::poll_answer poll(fake_host& h, const ports::poll_order& o);
    ports::poll_answer look(const fake_host& h);
    void grant(fake_host& h, std::int64_t until);
    void watch_lease(const std::string& machine, const std::string& runner);
    void finish(const std::string& machine, const std::string& task, std::int64_t run);
    void end(fake_host& h, const std::string& task, ports::run_end how);
    void begin_life(fake_host& h);
    void publish(const fake_host& h);
    void take_note(const fake_host& h, const ports::reported_end& it);
    void check_told(const std::string& task);
    void check_start(const fake_host& h, const ports::start_order& o);
    ports::machine_verdict take_down(const std::string& machine, const std::string& pool);
    void order_machine(daemon_fakes::process& p,
        std::function<ports::machine_verdict()> carry_out,
        std::function<void(ports::machine_verdict)> done);
    void check_crashes(const std::string& task);
    /// The other members of the task's gang end.
    void break_gang(const std::string& task);
    void crash_later(const fake_host& h, const ports::start_order& o);
    void breach(const std::string& what);
    std::int64_t clock() const;
    std::int64_t clock_of(const fake_host& h) const;
    bool is_late(bool order);
    core::millis way_back();
    fake_host* at(const ports::runner_ref& r);

    daemon_fakes::virtual_time& time_;
    store& store_;
    std::mt19937_64 random_;
    std::map<std::string, workflow::job> jobs_;
    std::set<std::string> ended_done_;               ///< tasks with an end that was listed
    std::map<std::string, core::mono_time> started_; ///< newest start of each task
    std::map<std::string, core::mono_time> told_;    ///< tasks whose end done was in an answer
    std::map<std::string, int> failures_;
    std::set<std::pair<std::int64_t, std::string>> maintained_; ///< wave and machine
    std::map<std::string, int> ended_failed_;                   ///< runs, acknowledged or not
    std::map<std::string, int> crashed_;             ///< runners, by the task that crashed them
    std::map<std::string, int> starts_past_crashes_; ///< of a task that had crashed its most
    int last_life_ = 0;
    int last_address_ = 0; ///< of those that were handed on
};

} // namespace camphorhitch::hosted_fakes
