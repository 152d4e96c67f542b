#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// A cluster in which tasks of some jobs crash the runners that start them.
struct crashing_world
{
    cluster c;
    std::set<std::string> crashers; ///< jobs
    bool progress_lost = false;     ///< writes of progress get no answer, and take no effect

    explicit crashing_world(int hosts, int nodes = 1, std::uint64_t seed = 1) : c(seed)
    {
        c.hosts.crashes.task = [this](const workflow::task_name& it)
        {
            return crashers.contains(it.job) && it.index == 0;
        };
        c.plant = [this](node& n)
        {
            n.ctx.store.commit = [this, real = n.ctx.store.commit](const auto& t, const auto& done)
            {
                if (progress_lost && !t.puts.empty() &&
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

    void put_crasher(const workflow::job& j)
    {
        crashers.insert(j.id);
        c.put_job(j);
    }

    /// \return lines of any node that contain \p what.
    int said(const std::string& what) const
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

    /// Ends the life of the node that coordinates; another takes over.
    void kill_leader()
    {
        c.leader()->process.dead = true;
        c.add_node();
        CHECK(c.has_leader());
    }
};

} // namespace

TEST_GROUP(crashing_tasks){};

// A task crashes each runner that starts it and is started for ever, one runner every lease.
TEST(crashing_tasks, it_is_not_started_again_and_again)
{
    crashing_world w(6);
    w.put_crasher(w.c.make_job("a", 1));
    w.c.time.run_for(40s);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// The owner counts the crashes and never tells: the job's caller waits for nothing.
TEST(crashing_tasks, its_job_is_given_up_after_three_crashes)
{
    crashing_world w(6);
    w.put_crasher(w.c.make_job("a", 1));
    CHECK(w.c.ends("a", job_state::failed, 40s));
    w.c.time.run_for(10s);
    LONGS_EQUAL(3, w.c.hosts.crashes_of("a.0.0.0"));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// The starts go on under each next owner, which counts from nought.
TEST(crashing_tasks, a_successor_counts_on)
{
    crashing_world w(6, 2);
    w.put_crasher(w.c.make_job("a", 1));
    for (int i = 0; i < 4; ++i)
    {
        w.c.time.run_for(4s);
        w.kill_leader();
    }
    CHECK(w.c.ends("a", job_state::failed, 60s));
    w.c.time.run_for(10s);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// No progress can be stored when a crash is learnt: an owner that starts the task all the same, and
// dies, leaves nothing of it to its successor.
TEST(crashing_tasks, no_start_before_its_crash_is_stored)
{
    crashing_world w(6);
    w.put_crasher(w.c.make_job("a", 1));
    w.c.put_job(w.c.make_job("b", 1));
    CHECK(w.c.time.run_until([&] { return w.c.hosts.crashes_of("a.0.0.0") == 1; }, 10s));
    w.progress_lost = true;
    w.c.time.run_for(8s);
    LONGS_EQUAL(1, w.c.hosts.crashes_of("a.0.0.0"));
    w.progress_lost = false;
    CHECK(w.c.ends("a", job_state::failed, 40s));
    CHECK(w.c.ends("b", job_state::completed, 10s));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// A runner that crashes takes all that runs beside the task with it, each time anew.
TEST(crashing_tasks, others_are_not_lost_again_and_again)
{
    crashing_world w(8);
    w.c.hosts.behaviour.run_time = 3s;
    w.put_crasher(w.c.make_job("a", 1));
    for (int i = 0; i < 12; ++i)
    {
        w.c.put_job(w.c.make_job("b" + std::to_string(i), 3));
    }
    CHECK(w.c.ends("a", job_state::failed, 60s));
    for (int i = 0; i < 12; ++i)
    {
        CHECK(w.c.ends("b" + std::to_string(i), job_state::completed, 60s));
    }
    CHECK(w.c.hosts.crashes_of("a.0.0.0") <= 4);
    CHECK(w.said("run_lapsed id=b") <= 9); // two hosts of eight tasks, none in trials
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// Many tasks of one class crash their runners. Tried at once, they take the whole pool down, and
// other work of the pool stands still.
TEST(crashing_tasks, a_class_of_them_does_not_take_the_pool_down)
{
    crashing_world w(16);
    for (int i = 0; i < 20; ++i)
    {
        w.put_crasher(w.c.make_job("a" + std::to_string(i), 1));
    }
    w.c.time.run_for(9s); // the first two crashes of each
    for (int i = 0; i < 20; ++i)
    {
        w.c.put_job(w.c.make_job("b" + std::to_string(i), 2));
    }
    for (int i = 0; i < 20; ++i)
    {
        CHECK(w.c.ends("b" + std::to_string(i), job_state::completed, 15s));
    }
    for (int i = 0; i < 20; ++i)
    {
        CHECK(w.c.ends("a" + std::to_string(i), job_state::failed, 120s));
    }
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// A task that lasts is started again however it ends, so each of its crashes is followed by one.
TEST(crashing_tasks, a_task_that_lasts_is_given_up_too)
{
    crashing_world w(6);
    auto j = w.c.make_job("a", 2);
    j.steps[0].long_running = true;
    w.put_crasher(j);
    CHECK(w.c.ends("a", job_state::failed, 60s));
    w.c.time.run_for(10s);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// One member crashes its runner, and its gang is started whole each time.
TEST(crashing_tasks, a_gang_is_given_up_too)
{
    crashing_world w(10);
    auto j = w.c.make_job("a", 3);
    j.steps[0].gang = true;
    j.steps[0].max_per_host = 1;
    w.put_crasher(j);
    CHECK(w.c.ends("a", job_state::failed, 60s));
    w.c.time.run_for(10s);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// Racks lose power twice within seconds, and no task is at fault: none of the jobs may be failed.
TEST(crashing_tasks, innocents_that_lose_their_hosts_twice_complete)
{
    crashing_world w(12);
    w.c.hosts.behaviour.run_time = 2s;
    for (int i = 0; i < 8; ++i)
    {
        w.c.put_job(w.c.make_job("b" + std::to_string(i), 4));
    }
    for (int round = 0; round < 2; ++round)
    {
        w.c.time.run_for(500ms);
        for (auto& [name, h] : w.c.hosts.machines)
        {
            if (!h.runs.empty())
            {
                w.c.hosts.crash(name, 1500ms);
            }
        }
        w.c.time.run_for(3500ms);
    }
    for (int i = 0; i < 8; ++i)
    {
        CHECK(w.c.ends("b" + std::to_string(i), job_state::completed, 60s));
    }
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// Runners that are cut off come back with the same life: nothing crashed, and nothing is failed.
TEST(crashing_tasks, silence_that_heals_counts_nothing)
{
    crashing_world w(3);
    w.c.hosts.behaviour.run_time = 60s;
    w.c.put_job(w.c.make_job("b", 1));
    for (int round = 0; round < 6; ++round)
    {
        w.c.time.run_for(2s);
        for (auto& [name, h] : w.c.hosts.machines)
        {
            if (!h.runs.empty())
            {
                w.c.hosts.cut(name, 4s);
            }
        }
        w.c.time.run_for(5s);
    }
    w.c.hosts.behaviour.run_time = 400ms;
    CHECK(w.c.ends("b", job_state::completed, 120s));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// Owners die, runners are cut off or lose their power, and writes lose their answers while tasks of
// all kinds crash their runners: none of it may add starts, or fail a job that is not at fault.
TEST(crashing_tasks, the_bound_holds_amid_other_faults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        crashing_world w(12, 2, seed);
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
            auto j = w.c.make_job("a" + std::to_string(i), 2);
            j.steps[0].long_running = i % 3 == 1;
            j.steps[0].gang = i % 3 == 2;
            w.put_crasher(j);
            w.c.put_job(w.c.make_job("b" + std::to_string(i), 3, 2));
        }
        int kills = 2;
        for (int i = 0; i < 15; ++i)
        {
            w.c.time.run_for(core::millis{500 + below(1500)});
            const int what = below(5);
            if (what == 0 && kills-- > 0)
            {
                w.kill_leader();
            }
            else if (what == 1)
            {
                w.c.hosts.cut(any_host(), core::millis{500 + below(6000)});
            }
            else if (what == 2)
            {
                w.c.hosts.crash(any_host(), 2s);
            }
            else if (what == 3)
            {
                w.c.store.answers_to_lose = below(3);
            }
        }
        w.c.time.run_for(120s);
        for (int i = 0; i < 6; ++i)
        {
            CHECK(w.c.state_of("b" + std::to_string(i)) == job_state::completed);
        }
        STRCMP_EQUAL("", w.c.breaches().c_str());
    }
}
