#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

// The load is a steady stream of short jobs. The fault is a store that truncates its change log:
// for a second its watches report nothing, while it answers all other calls, and then they end.
TEST_GROUP(deaf_watches)
{
    cluster c;

    void begin()
    {
        c.hosts.add("p");
        c.hosts.add("p");
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
        c.store.is_deaf_before_truncation = true;
    }
};

// Guards against accepted jobs that are read only after the watch has ended.
TEST(deaf_watches, jobs_start_while_watches_report_nothing)
{
    begin();
    for (int i = 0; i < 20; ++i)
    {
        c.store.compact();
        const auto id = "j" + std::to_string(i);
        c.put_job(c.make_job(id, 1));
        CHECK(c.time.run_until([&] { return c.hosts.started_jobs.contains(id); }, 600ms));
        c.time.run_for(core::millis{37 * i});
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against hosts that get no work until the watch of the list of runners has ended.
TEST(deaf_watches, a_new_runner_is_used_while_watches_report_nothing)
{
    begin();
    auto j = c.make_job("j", 1);
    j.pool = "q";
    c.put_job(j);
    c.time.run_for(1s);
    c.store.compact();
    c.hosts.add("q");
    CHECK(c.time.run_until([&] { return c.hosts.started_jobs.contains("j"); }, 900ms));
}

// Guards against a follower that learns nothing of a slow store, because each answer to a watch
// arrives after the watch was given up.
TEST(deaf_watches, changes_are_seen_when_each_answer_of_a_watch_is_late)
{
    c.customize_node = [this](node& n)
    {
        const auto watch = n.ctx.store.watch;
        n.ctx.store.watch = [this, watch](const std::string& prefix,
                                ports::revision after,
                                core::millis wait,
                                const std::function<void(ports::changes_read)>& done)
        {
            watch(prefix,
                after,
                wait,
                [this, done](const ports::changes_read& read)
                { c.time.after(400ms, [done, read] { done(read); }); });
        };
    };
    begin();
    c.put_job(c.make_job("j", 1));
    CHECK(c.time.run_until([&] { return c.hosts.started_jobs.contains("j"); }, 2s));
}
