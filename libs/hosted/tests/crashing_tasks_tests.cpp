#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// A cluster in which tasks of some jobs crash the runners that start them.
struct crash_loop_fixture
{
    cluster c;
    std::set<std::string> crashing_jobs; ///< ids of jobs whose first task crashes its runner
    bool loses_progress_writes = false;  ///< writes of progress get no answer and have no effect

    explicit crash_loop_fixture(int hosts, int nodes = 1, std::uint64_t seed = 1) : c(seed)
    {
        c.hosts.crashes.task = [this](const workflow::task_name& it)
        {
            return crashing_jobs.contains(it.job) && it.index == 0;
        };
        c.customize_node = [this](node& n)
        {
            n.ctx.store.commit = [this, real = n.ctx.store.commit](const auto& t, const auto& done)
            {
                if (loses_progress_writes && !t.puts.empty() &&
                    t.puts[0].key.starts_with(hosted::state_prefix))
                {
                    done({ports::kv_status::unknown, 0, {}, false});
                    return;
                }
                real(t, done);
            };
        };
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        for (int i = 0; i < nodes; ++i)
        {
            c.add_node();
        }
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    void submit_crashing_job(const workflow::job& j)
    {
        crashing_jobs.insert(j.id);
        c.put_job(j);
    }

    /// \return the number of log lines of all nodes that contain \p what.
    int count_lines_with(const std::string& what) const
    {
        int n = 0;
        for (const auto& it : c.nodes)
        {
            for (const auto& line : it.log.lines)
            {
                n += line.find(what) != std::string::npos ? 1 : 0;
            }
        }
        return n;
    }

    /// Begins the next incarnation on each machine whose runner has crashed.
    void return_crashed_machines()
    {
        for (auto& [name, h] : c.hosts.machines)
        {
            if (!h.up)
            {
                c.hosts.restart(name);
            }
        }
    }

    /// \return the machine on which the task runs; empty: none.
    std::string machine_of(const std::string& task) const
    {
        for (const auto& [name, h] : c.hosts.machines)
        {
            if (h.up && h.runs.contains(task))
            {
                return name;
            }
        }
        return {};
    }

    /// Ends the process of the node that coordinates; another node takes over.
    void replace_leader()
    {
        c.leader()->process.dead = true;
        c.add_node();
        CHECK(c.has_leader());
    }
};

} // namespace

TEST_GROUP(crashing_tasks){};

// Guards against starting a task for ever that crashes each runner that starts it: it would take
// down one runner per lease.
TEST(crashing_tasks, it_is_not_started_endlessly)
{
    crash_loop_fixture f(6);
    f.submit_crashing_job(f.c.make_job("a", 1));
    f.c.time.run_for(40s);
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Guards against a coordinator that stops starting the task and never fails its job, so that the
// caller waits for ever.
TEST(crashing_tasks, its_job_fails_after_five_crashes)
{
    crash_loop_fixture f(6);
    f.submit_crashing_job(f.c.make_job("a", 1));
    CHECK(f.c.ends("a", job_state::failed, 40s));
    f.c.time.run_for(10s);
    LONGS_EQUAL(5, f.c.hosts.crashes_of("a.0.0.0"));
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Guards against starts that continue under each next coordinator because it counts the crashes
// from zero.
TEST(crashing_tasks, a_successor_continues_the_count)
{
    crash_loop_fixture f(6, 2);
    f.submit_crashing_job(f.c.make_job("a", 1));
    for (int i = 0; i < 4; ++i)
    {
        f.c.time.run_for(4s);
        f.replace_leader();
    }
    CHECK(f.c.ends("a", job_state::failed, 60s));
    f.c.time.run_for(10s);
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// No progress can be stored when a crash becomes known. A coordinator that starts the task anyway
// and then dies leaves no record of the crash to its successor.
TEST(crashing_tasks, no_start_before_its_crash_is_stored)
{
    crash_loop_fixture f(6);
    f.submit_crashing_job(f.c.make_job("a", 1));
    f.c.put_job(f.c.make_job("b", 1));
    CHECK(f.c.time.run_until([&] { return f.c.hosts.crashes_of("a.0.0.0") == 1; }, 10s));
    f.loses_progress_writes = true;
    f.c.time.run_for(8s);
    LONGS_EQUAL(1, f.c.hosts.crashes_of("a.0.0.0"));
    f.loses_progress_writes = false;
    CHECK(f.c.ends("a", job_state::failed, 40s));
    CHECK(f.c.ends("b", job_state::completed, 10s));
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// A crashing runner ends all runs beside the task, each time the task crashes one.
TEST(crashing_tasks, other_tasks_are_not_lost_repeatedly)
{
    crash_loop_fixture f(8);
    f.c.hosts.behaviour.run_time = 3s;
    f.submit_crashing_job(f.c.make_job("a", 1));
    for (int i = 0; i < 12; ++i)
    {
        f.c.put_job(f.c.make_job("b" + std::to_string(i), 3));
    }
    CHECK(f.c.ends("a", job_state::failed, 60s));
    for (int i = 0; i < 12; ++i)
    {
        CHECK(f.c.ends("b" + std::to_string(i), job_state::completed, 60s));
    }
    CHECK(f.c.hosts.crashes_of("a.0.0.0") <= 5);
    // Two hosts of eight tasks; isolated runs end no other.
    CHECK(f.count_lines_with("run_lapsed id=b") <= 9);
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Many tasks of one kind crash their runners. Started in isolation all at once, they would take the
// whole pool down and stop the pool's other work.
TEST(crashing_tasks, many_of_them_do_not_take_the_pool_down)
{
    crash_loop_fixture f(16);
    for (int i = 0; i < 20; ++i)
    {
        f.submit_crashing_job(f.c.make_job("a" + std::to_string(i), 1));
    }
    f.c.time.run_for(9s); // the first two crashes of each
    for (int i = 0; i < 20; ++i)
    {
        f.c.put_job(f.c.make_job("b" + std::to_string(i), 2));
    }
    for (int i = 0; i < 20; ++i)
    {
        CHECK(f.c.ends("b" + std::to_string(i), job_state::completed, 15s));
    }
    for (int i = 0; i < 20; ++i)
    {
        CHECK(f.c.ends("a" + std::to_string(i), job_state::failed, 120s));
    }
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// A long-running task is started again however it ends, so a start follows each of its crashes.
TEST(crashing_tasks, the_job_of_a_long_running_task_fails_too)
{
    crash_loop_fixture f(6);
    auto j = f.c.make_job("a", 2);
    j.steps[0].long_running = true;
    f.submit_crashing_job(j);
    CHECK(f.c.ends("a", job_state::failed, 60s));
    f.c.time.run_for(10s);
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// One member of a gang crashes its runner, and the whole gang is started again each time.
TEST(crashing_tasks, the_job_of_a_gang_fails_too)
{
    crash_loop_fixture f(10);
    auto j = f.c.make_job("a", 3);
    j.steps[0].gang = true;
    j.steps[0].max_per_host = 1;
    f.submit_crashing_job(j);
    CHECK(f.c.ends("a", job_state::failed, 60s));
    f.c.time.run_for(10s);
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Guards against members of a gang that resume from different checkpoints after a crash.
TEST(crashing_tasks, a_gang_resumes_from_one_checkpoint_and_completes)
{
    crash_loop_fixture f(6);
    f.c.hosts.behaviour.run_time = 4s;
    f.c.hosts.behaviour.checkpoint_interval = 130ms;
    f.c.hosts.crashes.after = 1500ms;
    f.c.hosts.crashes.task = [&](const workflow::task_name& it)
    {
        return it.index == 1 && f.c.hosts.crashes_of("a.0.0.1") == 0;
    };
    auto j = f.c.make_job("a", 3);
    j.steps[0].gang = true;
    j.steps[0].checkpoints = true;
    j.steps[0].max_per_host = 1;
    f.c.put_job(j);
    CHECK(f.c.ends("a", job_state::completed, 60s));
    LONGS_EQUAL(1, f.c.hosts.crashes_of("a.0.0.1"));
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Racks lose power twice within seconds. No task is the cause, so none of the jobs may fail.
TEST(crashing_tasks, tasks_that_lose_their_hosts_twice_complete)
{
    crash_loop_fixture f(12);
    f.c.hosts.behaviour.run_time = 2s;
    for (int i = 0; i < 8; ++i)
    {
        f.c.put_job(f.c.make_job("b" + std::to_string(i), 4));
    }
    for (int round = 0; round < 2; ++round)
    {
        f.c.time.run_for(500ms);
        for (auto& [name, h] : f.c.hosts.machines)
        {
            if (!h.runs.empty())
            {
                f.c.hosts.crash(name, 1500ms);
            }
        }
        f.c.time.run_for(3500ms);
    }
    for (int i = 0; i < 8; ++i)
    {
        CHECK(f.c.ends("b" + std::to_string(i), job_state::completed, 60s));
    }
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Runners that were cut off return with the same incarnation: nothing crashed, so no job may fail.
TEST(crashing_tasks, a_temporary_disconnection_counts_no_crash)
{
    crash_loop_fixture f(3);
    f.c.hosts.behaviour.run_time = 60s;
    f.c.put_job(f.c.make_job("b", 1));
    for (int round = 0; round < 6; ++round)
    {
        f.c.time.run_for(2s);
        for (auto& [name, h] : f.c.hosts.machines)
        {
            if (!h.runs.empty())
            {
                f.c.hosts.cut(name, 4s);
            }
        }
        f.c.time.run_for(5s);
    }
    f.c.hosts.behaviour.run_time = 400ms;
    CHECK(f.c.ends("b", job_state::completed, 120s));
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Guards against a job shown as failed while its tasks work: four runners were lost with one task,
// and what proves their end is known only when the task works again.
TEST(crashing_tasks, a_job_whose_task_works_again_does_not_fail)
{
    for (const bool takes_over : {false, true})
    {
        crash_loop_fixture f(12, 2);
        auto j = f.c.make_job("a", 5);
        j.steps[0].long_running = true;
        j.steps[0].max_per_host = 1;
        f.c.hosts.crashes.task = [&f](const workflow::task_name& it)
        {
            return it.index == 2 && f.c.hosts.crashes_of("a.0.0.2") < 4;
        };
        f.c.hosts.crashes.down = 100s;
        f.c.put_job(j);
        CHECK(f.c.time.run_until([&] { return f.c.hosts.crashes_of("a.0.0.2") == 4; }, 60s));
        CHECK(f.c.time.run_until([&] { return !f.machine_of("a.0.0.2").empty(); }, 20s));
        if (takes_over)
        {
            f.replace_leader();
        }
        f.return_crashed_machines();
        for (int i = 0; i < 20; ++i)
        {
            f.c.time.run_for(1s);
            CHECK(f.c.state_of("a") == job_state::running);
            LONGS_EQUAL(5, f.c.running());
        }
        STRCMP_EQUAL("", f.c.breaches().c_str());
    }
}

// Guards against a job that fails because the runners of one task crash again and again while the
// task works.
TEST(crashing_tasks, crashes_of_runners_at_work_fail_no_job)
{
    crash_loop_fixture f(9);
    auto j = f.c.make_job("a", 5);
    j.steps[0].long_running = true;
    j.steps[0].max_per_host = 1;
    f.c.put_job(j);
    for (int i = 0; i < 10; ++i)
    {
        CHECK(f.c.time.run_until([&] { return !f.machine_of("a.0.0.0").empty(); }, 9s));
        CHECK(f.c.state_of("a") != job_state::failed);
        f.c.time.run_for(1s);
        f.c.hosts.crash(f.machine_of("a.0.0.0"), 1500ms);
    }
    f.c.time.run_for(10s);
    LONGS_EQUAL(5, f.c.running());
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Coordinators die, runners are cut off or lose power, and writes lose their answers while tasks of
// all kinds crash their runners. None of these faults may add starts beyond the bound, or fail a
// job whose tasks crash nothing.
TEST(crashing_tasks, the_bound_holds_with_other_faults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        crash_loop_fixture f(12, 2, seed);
        std::mt19937_64 random(seed);
        const auto below = [&random](int n)
        {
            return std::uniform_int_distribution<int>(0, n - 1)(random);
        };
        const auto any_host = [&]
        {
            return "m" + std::to_string(1 + below(12));
        };
        for (int i = 0; i < 6; ++i)
        {
            auto j = f.c.make_job("a" + std::to_string(i), 2);
            j.steps[0].long_running = i % 3 == 1;
            j.steps[0].gang = i % 3 == 2;
            f.submit_crashing_job(j);
            f.c.put_job(f.c.make_job("b" + std::to_string(i), 3, 2));
        }
        int kills = 2;
        for (int i = 0; i < 15; ++i)
        {
            f.c.time.run_for(core::millis{500 + below(1500)});
            const int what = below(5);
            if (what == 0 && kills-- > 0)
            {
                f.replace_leader();
            }
            else if (what == 1)
            {
                f.c.hosts.cut(any_host(), core::millis{500 + below(6000)});
            }
            else if (what == 2)
            {
                f.c.hosts.crash(any_host(), 2s);
            }
            else if (what == 3)
            {
                f.c.store.answers_to_lose = below(3);
            }
        }
        f.c.time.run_for(120s);
        for (int i = 0; i < 6; ++i)
        {
            CHECK(f.c.state_of("b" + std::to_string(i)) == job_state::completed);
        }
        STRCMP_EQUAL("", f.c.breaches().c_str());
    }
}
