#include "hosted/keys.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// When the calls for the earlier incarnation are carried out.
enum class release_time
{
    at_restart,      ///< before the restart is noticed
    once_answered,   ///< after the next incarnation has answered its first call
    once_started,    ///< after a task has started there
    later,           ///< seconds later
    after_take_over, ///< once a successor leads
    at_an_end        ///< when a task has ended there, before its end is read
};

constexpr core::name_table<release_time, 6> release_time_names{{
    {release_time::at_restart, "at the restart"},
    {release_time::once_answered, "once the next incarnation has answered"},
    {release_time::once_started, "once a task has started there"},
    {release_time::later, "later"},
    {release_time::after_take_over, "after a take-over"},
    {release_time::at_an_end, "when a task has ended there"},
}};

constexpr core::millis later_delay{2000};
constexpr core::millis cut_time{60000};
/// Election of a coordinator and its first polls.
constexpr core::millis take_over_time{3000};
constexpr int half = 2;

/// \return the longest time for which a lease may last by another clock.
core::millis with_drift(const coordinator::coordinator_settings& s, core::millis lease)
{
    const auto slow = std::chrono::duration<double, std::milli>(lease) * (1 + s.clock_drift);
    return std::chrono::ceil<core::millis>(slow);
}

/// A runner that starts again under its id, whose next clock is far behind the former one, while
/// calls for its earlier incarnation are held back.
struct earlier_call_fixture
{
    cluster c;
    release_time released_at;

    explicit earlier_call_fixture(release_time at, int nodes = 1) : released_at(at)
    {
        c.hosts.kept_id_share = 1;
        c.hosts.add("p");
        for (int i = 0; i < nodes; ++i)
        {
            c.add_node();
        }
        c.has_leader();
        c.time.run_for(1s);
    }

    fake_host& first()
    {
        return c.hosts.machines.at("m1");
    }

    void hold(runner_call kind, int calls = 1)
    {
        const auto held = c.hosts.held_calls() + static_cast<std::size_t>(calls);
        c.hosts.hold_next(kind, "m1", calls);
        c.time.run_until([&] { return c.hosts.held_calls() == held; }, 3s);
    }

    void reach(release_time now)
    {
        if (now == released_at)
        {
            c.hosts.release_held();
        }
    }

    /// Lets the first runner start again, until the coordinator has heard from it.
    void restart()
    {
        constexpr core::millis down{300};
        c.hosts.next_clock_at_birth_ms = 1000;
        c.hosts.crash("m1", down);
        c.time.run_until([&] { return first().up; }, down);
        reach(release_time::at_restart);
        c.time.run_until([&] { return first().fence > 0; }, 2s);
        c.time.run_for(20ms);
        reach(release_time::once_answered);
    }

    /// Starts a job of one task on the first runner. A second runner is added after it.
    void start_on_first()
    {
        c.put_job(c.make_job("a", 1));
        c.time.run_until([&] { return c.running() == 1; }, 2s);
        c.hosts.add("p");
        c.time.run_for(500ms);
    }

    void start_job()
    {
        start_on_first();
        reach(release_time::once_started);
        if (released_at == release_time::later)
        {
            c.time.run_for(later_delay);
            c.hosts.release_held();
        }
    }

    /// Ends the coordinator's process.
    void kill_leader()
    {
        c.leader()->process.dead = true;
        if (released_at == release_time::after_take_over)
        {
            c.has_leader();
            c.time.run_for(300ms);
            c.hosts.release_held();
        }
    }

    /// \return the time within which a task of a runner that is cut off starts elsewhere: every
    /// lease has ended by then.
    core::millis longest_wait() const
    {
        const auto& s = c.settings.rules;
        return with_drift(s, s.max_runner_lease) + s.lease_expiry_margin +
               c.settings.liveness_check_interval;
    }

    core::millis longest_run() const
    {
        return c.hosts.behaviour.run_time + c.hosts.behaviour.run_time / half;
    }

    /// Waits for the job's end.
    /// \return the violations of promises, or empty.
    std::string finish_job(core::millis bound, const std::string& id = "a")
    {
        const bool ended = c.ends(id, job_state::completed, bound);
        return c.breaches() + (ended ? "" : "the job did not end\n");
    }
};

/// \return the problems of all rows, each with the moment of the release; empty: none.
template <class Play>
std::string play_all(std::initializer_list<release_time> all, Play play)
{
    std::string out;
    for (const auto it : all)
    {
        const std::string problem = play(it);
        out += problem.empty()
                   ? ""
                   : std::string{core::name_of(release_time_names, it)} + ": " + problem;
    }
    return out;
}

} // namespace

TEST_GROUP(earlier_calls){};

// Guards against a successor that starts a task again while its runner, cut off soon after a
// restart, works on under a lease that a call for the earlier incarnation has granted.
TEST(earlier_calls, a_late_poll_makes_no_task_run_twice_after_a_take_over)
{
    const auto play = [](release_time at)
    {
        earlier_call_fixture f(at, 2);
        f.c.hosts.behaviour.run_time = 24s;
        f.hold(runner_call::poll);
        f.restart();
        f.start_job();
        f.kill_leader();
        f.c.hosts.cut("m1", cut_time);
        const auto wait = take_over_time + f.longest_wait();
        const bool again = f.c.time.run_until([&] { return f.c.hosts.starts == 2; }, wait);
        return (again ? "" : "no second start\n") + f.finish_job(f.longest_run() + 1s);
    };
    const auto problems = play_all({release_time::at_restart,
                                       release_time::once_answered,
                                       release_time::once_started,
                                       release_time::after_take_over},
        play);
    STRCMP_EQUAL("", problems.c_str());
}

// Guards against a coordinator of a short term that rewrites the record without the lease that a
// late poll may have granted, so that its successor waits for a usual one.
TEST(earlier_calls, a_late_poll_makes_no_task_run_twice_after_quick_take_overs)
{
    constexpr core::millis step{50};
    constexpr core::millis longest_term{500};
    std::string problems;
    for (auto term = step; term <= longest_term; term += step)
    {
        earlier_call_fixture f(release_time::at_restart, 3);
        f.c.hosts.behaviour.run_time = 24s;
        f.hold(runner_call::poll);
        f.restart();
        f.start_job();
        f.c.hosts.cut("m1", cut_time);
        f.c.time.run_for(2s);
        f.kill_leader();
        f.c.has_leader();
        f.c.time.run_for(term);
        f.c.leader()->process.dead = true;
        f.c.has_leader();
        const bool again =
            f.c.time.run_until([&] { return f.c.hosts.starts == 2; }, f.longest_wait());
        const auto problem = f.c.breaches() + (again ? "" : "no second start\n");
        problems += problem.empty() ? "" : std::to_string(term.count()) + " ms: " + problem;
    }
    STRCMP_EQUAL("", problems.c_str());
}

// Guards against a coordinator that counts the longest lease from the restart, while a call for the
// earlier incarnation grants it seconds later.
TEST(earlier_calls, a_late_poll_makes_no_task_run_twice_under_the_same_coordinator)
{
    const auto play = [](release_time at)
    {
        earlier_call_fixture f(at);
        f.c.hosts.behaviour.run_time = 24s;
        f.hold(runner_call::poll);
        f.restart();
        f.start_job();
        f.c.hosts.cut("m1", cut_time);
        const bool again =
            f.c.time.run_until([&] { return f.c.hosts.starts == 2; }, f.longest_wait());
        return (again ? "" : "no second start\n") + f.finish_job(f.longest_run() + 1s);
    };
    const auto problems = play_all({release_time::at_restart,
                                       release_time::once_answered,
                                       release_time::once_started,
                                       release_time::later},
        play);
    STRCMP_EQUAL("", problems.c_str());
}

// A start was sent several times, and one of the sends was answered. Guards against a second run
// when the next incarnation carries out another one of them.
TEST(earlier_calls, a_late_start_makes_no_task_run_twice)
{
    std::string problems;
    for (const bool listed : {false, true})
    {
        const auto play = [&](release_time at)
        {
            earlier_call_fixture f(at);
            f.c.hosts.behaviour.run_time = 12s;
            f.c.hosts.hold_next(runner_call::start, "m1");
            f.c.put_job(f.c.make_job("a", 1));
            f.c.time.run_until([&] { return f.c.hosts.starts == 1; }, 2s);
            f.c.hosts.add("p");
            f.c.time.run_for(listed ? 1500ms : 50ms);
            f.restart();
            f.c.time.run_for(500ms);
            f.reach(release_time::once_started);
            f.c.time.run_for(later_delay);
            f.reach(release_time::later);
            const auto problem = f.finish_job(f.longest_wait() + f.longest_run());
            return (problem.empty() || listed ? "" : "not listed, ") + problem;
        };
        problems += play_all({release_time::at_restart,
                                 release_time::once_answered,
                                 release_time::once_started,
                                 release_time::later},
            play);
    }
    STRCMP_EQUAL("", problems.c_str());
}

// A start without any answer was stopped, and the next run of its task began on the same runner.
// Guards against a second run when the next incarnation, which knows of no stop, carries out that
// start.
TEST(earlier_calls, a_late_start_of_a_stopped_run_makes_no_task_run_twice)
{
    constexpr int sends = 3;
    const auto play = [](release_time at)
    {
        earlier_call_fixture f(at);
        f.c.hosts.behaviour.run_time = 12s;
        f.c.hosts.hold_next(runner_call::start, "m1", sends);
        f.c.put_job(f.c.make_job("a", 1));
        f.c.time.run_until([&] { return f.c.hosts.starts == 1; }, 10s);
        f.c.hosts.add("p");
        f.c.time.run_for(1500ms);
        f.restart();
        f.c.time.run_for(500ms);
        f.reach(release_time::once_started);
        return f.finish_job(f.longest_wait() + f.longest_run());
    };
    const auto problems = play_all(
        {release_time::at_restart, release_time::once_answered, release_time::once_started}, play);
    STRCMP_EQUAL("", problems.c_str());
}

// Guards against a stop for the earlier incarnation that keeps a task from running in the next one.
TEST(earlier_calls, a_late_stop_leaves_the_task_running)
{
    constexpr int sends = 3;
    const auto play = [](release_time at)
    {
        earlier_call_fixture f(at, 2);
        f.c.hosts.behaviour.run_time = 3s;
        f.c.hosts.hold_next(runner_call::start, "m1", sends);
        f.c.put_job(f.c.make_job("a", 1));
        f.c.time.run_until([&] { return f.c.hosts.held_calls() == sends; }, 2s);
        f.c.hosts.drop_held();
        f.hold(runner_call::stop);
        f.c.time.run_until([&] { return f.c.hosts.starts == 1; }, 10s);
        f.c.time.run_for(1s);
        f.restart();
        f.c.time.run_until([&] { return f.c.running() == 1; }, 2s);
        f.reach(release_time::once_started);
        if (at == release_time::after_take_over)
        {
            f.kill_leader();
        }
        auto problem = f.finish_job(f.longest_wait() + f.longest_run());
        const bool few = f.c.hosts.starts <= sends;
        return problem + (few ? "" : std::to_string(f.c.hosts.starts) + " starts\n");
    };
    const auto problems = play_all({release_time::at_restart,
                                       release_time::once_answered,
                                       release_time::once_started,
                                       release_time::after_take_over},
        play);
    STRCMP_EQUAL("", problems.c_str());
}

// A poll for the earlier incarnation acknowledges more ends than the next one has. Guards against
// the loss of an end that the next incarnation has not reported yet: its task would run again.
TEST(earlier_calls, a_late_acknowledgement_loses_no_end)
{
    constexpr int ends = 5;
    const auto play = [](release_time at)
    {
        earlier_call_fixture f(at, 2);
        f.c.put_job(f.c.make_job("b", ends));
        auto problem = f.finish_job(5s, "b");
        f.c.time.run_for(1500ms);
        f.hold(runner_call::poll);
        f.restart();
        f.c.put_job(f.c.make_job("a", 1));
        f.c.time.run_until([&] { return f.c.running() == 1; }, 2s);
        f.reach(release_time::once_started);
        if (at == release_time::after_take_over)
        {
            f.kill_leader();
        }
        f.c.time.run_until([&] { return !f.first().ends.empty(); }, f.longest_run());
        f.reach(release_time::at_an_end);
        problem += f.finish_job(f.longest_wait() + f.longest_run());
        const bool once = f.c.hosts.starts == ends + 1;
        return problem + (once ? "" : std::to_string(f.c.hosts.starts) + " starts\n");
    };
    const auto problems = play_all({release_time::at_restart,
                                       release_time::once_answered,
                                       release_time::once_started,
                                       release_time::after_take_over,
                                       release_time::at_an_end},
        play);
    STRCMP_EQUAL("", problems.c_str());
}

// A start for the earlier incarnation begins and ends in the next one, then a poll for the earlier
// one takes effect. Guards against the loss of that end: idle polls must acknowledge nothing.
TEST(earlier_calls, a_late_idle_poll_acknowledges_nothing)
{
    constexpr int ends = 5;
    constexpr int sends = 3;
    earlier_call_fixture f(release_time::later, 2);
    f.c.put_job(f.c.make_job("b", ends));
    STRCMP_EQUAL("", f.finish_job(5s, "b").c_str());
    f.c.time.run_for(3s);
    f.c.hosts.behaviour.run_time = 20ms;
    f.hold(runner_call::poll);
    f.c.hosts.hold_next(runner_call::start, "m1", sends);
    f.c.put_job(f.c.make_job("a", 1));
    CHECK(f.c.time.run_until([&] { return f.c.hosts.held_calls() == 2; }, 2s));
    f.c.hosts.next_clock_at_birth_ms = 1000;
    f.c.hosts.crash("m1", 100ms);
    f.c.time.run_until([&] { return f.first().up; }, 200ms);
    f.c.hosts.release_held(1);
    CHECK(f.c.time.run_until([&] { return !f.first().ends.empty(); }, 100ms));
    f.c.hosts.release_held();
    STRCMP_EQUAL("", f.finish_job(f.longest_wait()).c_str());
    LONGS_EQUAL(ends + 1, f.c.hosts.starts);
}

// A best-effort task whose start was sent several times begins in the next incarnation. Guards
// against a throttle for the earlier one that pauses it there without end.
TEST(earlier_calls, a_late_throttle_pauses_no_task_without_end)
{
    const auto play = [](release_time at)
    {
        earlier_call_fixture f(at, 2);
        f.c.hosts.behaviour.run_time = 3s;
        f.c.hosts.hold_next(runner_call::start, "m1");
        auto j = f.c.make_job("a", 1);
        j.steps[0].best_effort = true;
        f.c.put_job(j);
        f.c.time.run_until([&] { return f.c.hosts.starts == 1; }, 2s);
        const auto run = f.first().runs.begin()->second.number;
        auto& lead = *f.c.leader();
        f.c.hosts.hold_next(runner_call::throttle, "m1");
        lead.ctx.runners.throttle({f.c.hosts.incarnation_of("m1"), f.first().address, {}},
            {"a.0.0.0", run, 0, lead.lead->token()},
            [](const ports::runner_answer&) {});
        f.c.time.run_until([&] { return f.c.hosts.held_calls() == 2; }, 1s);
        f.restart();
        f.c.time.run_for(100ms);
        f.reach(release_time::once_started);
        if (at == release_time::after_take_over)
        {
            f.kill_leader();
        }
        f.c.time.run_for(later_delay);
        f.reach(release_time::later);
        return f.finish_job(f.longest_wait() + f.longest_run());
    };
    const auto problems = play_all({release_time::at_restart,
                                       release_time::once_answered,
                                       release_time::once_started,
                                       release_time::later,
                                       release_time::after_take_over},
        play);
    STRCMP_EQUAL("", problems.c_str());
}

// Guards against a coordinator that steps down because a runner refuses an earlier call of its own.
TEST(earlier_calls, a_refused_call_of_its_own_ends_no_term)
{
    for (const auto kind : {runner_call::poll, runner_call::start, runner_call::stop})
    {
        earlier_call_fixture f(release_time::later);
        f.c.hosts.behaviour.run_time = 6s;
        if (kind != runner_call::poll)
        {
            f.c.hosts.hold_next(kind, "m1");
            f.c.put_job(f.c.make_job("b", 1));
            f.c.time.run_for(100ms);
            f.c.store.put(hosted::cancel_key("b"), "1");
            f.c.time.run_until([&] { return f.c.hosts.held_calls() == 1; }, 1s);
        }
        else
        {
            f.hold(kind);
        }
        const auto* const leader = f.c.leader();
        const auto term = f.c.store.find(hosted::leader_term_key)->value;
        f.c.hosts.crash("m1", 100ms);
        f.c.time.run_until([&] { return f.first().up && f.first().fence > 0; }, 1s);
        f.c.time.run_for(100ms);
        f.c.hosts.release_held(); // within the timeout of the call
        f.c.time.run_for(1s);
        CHECK(f.c.leader() == leader);
        STRCMP_EQUAL(term.c_str(), f.c.store.find(hosted::leader_term_key)->value.c_str());
        f.c.put_job(f.c.make_job("a", 1));
        STRCMP_EQUAL("", f.finish_job(f.longest_wait() + f.longest_run()).c_str());
    }
}

// Guards against a longer wait for hosts that are cut off without a restart, or long after one: the
// callers of their tasks would pay for the restarts of others.
TEST(earlier_calls, hosts_that_did_not_restart_are_waited_for_no_longer)
{
    struct row
    {
        const char* what;
        bool has_restarted;
        bool is_taken_over;
    };
    for (const auto& it : {row{"same coordinator", false, false},
             row{"successor", false, true},
             row{"same coordinator, long after a restart", true, false},
             row{"successor, long after a restart", true, true}})
    {
        earlier_call_fixture f(release_time::later, 2);
        const auto& s = f.c.settings.rules;
        f.c.hosts.behaviour.run_time = 24s;
        if (it.has_restarted)
        {
            f.restart();
            f.c.time.run_for(f.longest_wait());
        }
        f.start_on_first();
        if (!it.has_restarted)
        {
            f.c.hosts.crash("m2", 300ms);
            f.c.time.run_for(1s);
        }
        CHECK_EQUAL_TEXT(1U, f.first().runs.size(), it.what);
        f.c.hosts.cut("m1", cut_time);
        auto bound = with_drift(s, s.runner_lease);
        if (it.is_taken_over)
        {
            f.c.leader()->process.dead = true;
            CHECK_TEXT(f.c.has_leader(), it.what);
            bound = with_drift(s, s.runner_lease + s.leader_lease);
        }
        bound += s.lease_expiry_margin + f.c.settings.liveness_check_interval;
        CHECK_TEXT(f.c.time.run_until([&] { return f.c.hosts.starts == 2; }, bound), it.what);
        STRCMP_EQUAL_TEXT("", f.c.breaches().c_str(), it.what);
    }
}

// Guards against a host that stays without work after a restart, with and without late calls for
// its earlier incarnation.
TEST(earlier_calls, a_restarted_host_takes_work_soon)
{
    for (const bool late : {false, true})
    {
        earlier_call_fixture f(release_time::once_answered);
        if (late)
        {
            f.hold(runner_call::poll);
        }
        f.restart();
        f.c.put_job(f.c.make_job("a", 1));
        CHECK(f.c.time.run_until([&] { return f.c.running() == 1; }, 500ms));
        STRCMP_EQUAL("", f.c.breaches().c_str());
    }
}

// Guards against a successor that finds both incarnations of a runner in the record and loses the
// pool of the present one: jobs would wait without end.
TEST(earlier_calls, a_take_over_soon_after_a_restart_loses_no_host)
{
    constexpr core::millis step{20};
    constexpr core::millis last{600};
    std::string problems;
    for (core::millis delay{0}; delay <= last; delay += step)
    {
        earlier_call_fixture f(release_time::later, 2);
        f.c.hosts.crash("m1", 300ms);
        f.c.time.run_until([&] { return f.first().up; }, 300ms);
        f.c.time.run_for(delay);
        f.c.leader()->process.dead = true;
        CHECK(f.c.has_leader());
        f.c.put_job(f.c.make_job("a", 1));
        const auto problem = f.finish_job(take_over_time);
        problems += problem.empty() ? "" : std::to_string(delay.count()) + " ms: " + problem;
    }
    STRCMP_EQUAL("", problems.c_str());
}
