#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::jobs;
using namespace camphorhitch::jobs_test;
using job_fakes::make_member;
using job_fakes::member;

TEST_GROUP(faults)
{
    job_fakes::pool_environment w = make_environment(6);
    member m = make_member("quotes", 1, "e1", w.now);

    void submit(int count, const std::string& prefix, const std::string& kind)
    {
        std::vector<submission> all;
        for (int i = 0; i < count; ++i)
        {
            all.push_back(make_submission(prefix + std::to_string(i), 2));
            all.back().kind = kind;
        }
        job_fakes::submit(w, all);
    }

    int count(const std::string& prefix, const std::string& state)
    {
        int n = 0;
        for (const auto& b : w.kv.entries)
        {
            for (const auto& j : b.document.jobs)
            {
                n += j.id.rfind(prefix, 0) == 0 && state_of(w, j.id) == state ? 1 : 0;
            }
        }
        return n;
    }
};

// One worker fails every task at once, so that it always has free capacity. Every job still
// finishes on the other workers, and the number of starts wasted on this worker is bounded, however
// many jobs are submitted.
TEST(faults, a_worker_that_fails_everything_wastes_few_starts)
{
    w.platform.all["w3"].fails_all = true;
    for (int i = 0; i < 20; ++i)
    {
        submit(30, "b" + std::to_string(i) + "-", i % 2 == 0 ? "even" : "odd");
        pass_time(m, w, core::millis{10000});
    }
    pass_time(m, w, core::millis{120000});
    CHECK_EQUAL(600, count("b", "finished"));
    CHECK(w.platform.wasted_starts <= 15);
    CHECK_TRUE(is_set_aside(m.jobs.health, "w3"));

    w.platform.all["w3"].fails_all = false;
    submit(40, "later", "even");
    pass_time(m, w, core::millis{900000}, core::millis{500});
    CHECK_EQUAL(40, count("later", "finished"));
    submit(40, "again", "even");
    pass_time(m, w, core::millis{60000});
    CHECK_FALSE(is_set_aside(m.jobs.health, "w3"));
}

// Jobs of one kind fail on every worker, among other jobs that run well: the jobs are set aside
// after a bounded number of starts each, and no worker is set aside.
TEST(faults, jobs_that_fail_everywhere_are_set_aside)
{
    w.platform.behaviour = [](const ports::task_order& it)
    {
        return job_fakes::real_task{{it.processors, it.memory_gb, 0},
            it.run_time,
            core::millis{300},
            jobs::job_id_of_task(it.task).rfind("bad", 0) == 0};
    };
    submit(20, "bad", "broken");
    submit(20, "good", "sound");
    pass_time(m, w, core::millis{300000}, core::millis{500});
    CHECK_EQUAL(20, count("good", "finished"));
    CHECK_EQUAL(20, count("bad", "set_aside"));
    for (int i = 0; i < 20; ++i)
    {
        CHECK(starts_of(w, "bad" + std::to_string(i)) <= 5);
    }
    for (const auto& it : w.hosts.hosts)
    {
        CHECK_FALSE(is_set_aside(m.jobs.health, it.id));
    }
}

// A host is drained for maintenance. Jobs near their end finish there. Long jobs that may run again
// are checkpointed, move once to a host that stays, and continue from the checkpoint. A job that
// may run once only runs to its end. New jobs that can't finish in time are placed on other hosts.
TEST(faults, jobs_follow_maintenance)
{
    const auto send = [&](const std::string& id, core::millis time, bool idempotent)
    {
        submission s = make_submission(id, 2, job_class::normal, idempotent);
        s.run_time = time;
        job_fakes::submit(w, {s});
    };
    for (std::size_t i = 1; i < w.hosts.hosts.size(); ++i)
    {
        w.hosts.hosts[i].state = model::host_state::draining;
    }
    send("short", core::millis{30000}, true);
    send("long", core::millis{300000}, true);
    send("once", core::millis{300000}, false);
    pass_time(m, w, core::millis{10000});
    STRCMP_EQUAL("w0", host_of(w, "long").c_str());
    for (std::size_t i = 1; i < w.hosts.hosts.size(); ++i)
    {
        w.hosts.hosts[i].state = model::host_state::serving;
        w.leaving_in["w" + std::to_string(i)] = core::millis{60000};
    }
    w.leaving_in.erase("w5");
    w.hosts.hosts[0].state = model::host_state::draining;
    w.hosts.hosts[0].purpose = model::drain_purpose::maintenance;
    w.hosts.hosts[0].wave = "wave1";
    pass_time(m, w, core::millis{5000});
    STRCMP_EQUAL("w5", host_of(w, "long").c_str());
    const job* moved = job_fakes::stored_job(w, "long");
    CHECK_EQUAL(1, moved->moves);
    STRCMP_EQUAL("wave1", moved->moved_by_wave.c_str());
    CHECK_TRUE(w.platform.starts.back().resumed);
    STRCMP_EQUAL("w0", host_of(w, "short").c_str());
    STRCMP_EQUAL("w0", host_of(w, "once").c_str());
    CHECK_EQUAL(2, count_tasks_on(m.jobs, "w0"));

    w.hosts.hosts[5].state = model::host_state::draining;
    send("fits", core::millis{50000}, true);
    send("too_long", core::millis{70000}, true);
    pass_time(m, w, core::millis{1000});
    STRCMP_EQUAL("starting", state_of(w, "fits").substr(0, 8).c_str());
    STRCMP_EQUAL("waiting", state_of(w, "too_long").c_str());
    pass_time(m, w, core::millis{300000}, core::millis{500});
    CHECK_EQUAL(0, count_tasks_on(m.jobs, "w0"));
    CHECK_EQUAL(1, starts_of(w, "once"));
    STRCMP_EQUAL("finished", state_of(w, "once").c_str());
}
