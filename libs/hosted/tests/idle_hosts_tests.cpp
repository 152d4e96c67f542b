#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// A fleet in which nothing runs and whose idle hosts rest, and how often they are polled.
struct idle_fleet
{
    cluster c;
    int polls = 0;

    /// \param few a fleet of that size counts as one whose idle hosts rest
    explicit idle_fleet(int hosts, bool few = true)
    {
        if (few)
        {
            c.settings.most_idle_polls_per_second = 1;
        }
        c.hosts.behaviour.run_time = 300ms;
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.plant = [this](node& n)
        {
            n.ctx.runners.poll = [this, real = n.ctx.runners.poll](
                                     const auto& to, const auto& o, const auto& done)
            {
                ++polls;
                real(to, o, done);
            };
        };
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(3s);
    }

    /// \return the polls of so long.
    int count(core::millis how_long)
    {
        polls = 0;
        c.time.run_for(how_long);
        return polls;
    }
};

} // namespace

TEST_GROUP(idle_hosts){};

// Guards against an owner that spends itself on hosts which have nothing to tell.
TEST(idle_hosts, hosts_of_a_pool_without_jobs_are_not_polled)
{
    for (const int hosts : {5, 50, 400})
    {
        idle_fleet w(hosts);
        CHECK_EQUAL(0, w.count(5s));
    }
}

// In a small fleet polls of idle hosts cost little, and what falls silent is known before work
// comes.
TEST(idle_hosts, in_a_small_fleet_all_are_polled)
{
    idle_fleet w(50, false);
    CHECK(w.count(5s) > 50 * 5);
}

// A job comes for a pool whose hosts have not been asked for minutes: it must not wait for more
// than their answers.
TEST(idle_hosts, a_first_job_starts_at_once)
{
    for (const int hosts : {5, 50, 400})
    {
        idle_fleet w(hosts);
        w.c.time.run_for(60s);
        w.c.put_job(w.c.make_job("j", hosts));
        CHECK(w.c.ends("j", job_state::completed, 800ms));
        LONGS_EQUAL(0, w.c.hosts.lapsed);
        STRCMP_EQUAL("", w.c.breaches().c_str());
    }
}

// A host falls silent while nobody asks it, and work comes. Guards against tasks that are ordered
// there by what was known minutes ago.
TEST(idle_hosts, work_does_not_wait_for_a_host_that_fell_silent_unasked)
{
    idle_fleet w(4);
    w.c.hosts.cut(w.c.hosts.machines.begin()->first, 30s);
    w.c.time.run_for(10s);
    w.c.put_job(w.c.make_job("j", 8));
    CHECK(w.c.ends("j", job_state::completed, 1s));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// The coordinator dies while its hosts are not polled: its successor must find them, and learn what
// runs there, as ever.
TEST(idle_hosts, a_successor_finds_hosts_that_were_not_polled)
{
    idle_fleet w(10);
    w.c.time.run_for(10s);
    w.c.leader()->process.dead = true;
    w.c.add_node();
    CHECK(w.c.has_leader());
    w.c.put_job(w.c.make_job("j", 10));
    CHECK(w.c.ends("j", job_state::completed, 3s));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// With thousands of hosts those that run nothing rest between two polls, and work finds them all
// the same.
TEST(idle_hosts, in_a_large_pool_resting_hosts_take_work_and_tell_of_its_end)
{
    constexpr int hosts = 4000;
    idle_fleet w(hosts, false);
    auto lasting = w.c.make_job("keeps the pool open", 1, 400);
    w.c.put_job(lasting);
    w.c.time.run_for(3s);
    const auto polls = w.count(4s);
    const auto bound = 4 * w.c.settings.most_idle_polls_per_second;
    CHECK(polls < 1.3 * bound);
    w.c.put_job(w.c.make_job_on_each("j", 200));
    CHECK(w.c.ends("j", job_state::completed, 1500ms));
    LONGS_EQUAL(0, w.c.hosts.lapsed);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}
