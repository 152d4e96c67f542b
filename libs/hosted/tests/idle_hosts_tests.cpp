#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// A fleet in which nothing runs and whose idle hosts are polled with delays; counts the polls.
struct idle_fleet_fixture
{
    cluster c;
    int polls = 0;

    /// \param delays_polls whether polls of idle hosts are delayed although the fleet is small
    explicit idle_fleet_fixture(int hosts, bool delays_polls = true)
    {
        if (delays_polls)
        {
            c.settings.max_idle_polls_per_second = 1;
        }
        c.hosts.behaviour.run_time = 300ms;
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.customize_node = [this](node& n)
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

    /// \return the number of polls during this time.
    int count_polls(core::millis how_long)
    {
        polls = 0;
        c.time.run_for(how_long);
        return polls;
    }
};

} // namespace

TEST_GROUP(idle_hosts){};

// Guards against a coordinator that spends its processor time on hosts that have nothing to report.
TEST(idle_hosts, hosts_of_a_pool_without_jobs_are_not_polled)
{
    for (const int hosts : {5, 50, 400})
    {
        idle_fleet_fixture f(hosts);
        CHECK_EQUAL(0, f.count_polls(5s));
    }
}

// In a small fleet polls of idle hosts cost little, and reveal an unresponsive host before work
// arrives.
TEST(idle_hosts, in_a_small_fleet_all_are_polled)
{
    idle_fleet_fixture f(50, false);
    CHECK(f.count_polls(5s) > 50 * 5);
}

// A job arrives for a pool whose hosts have not been polled for minutes. It must wait for no more
// than their next answers.
TEST(idle_hosts, a_first_job_starts_at_once)
{
    for (const int hosts : {5, 50, 400})
    {
        idle_fleet_fixture f(hosts);
        f.c.time.run_for(60s);
        f.c.put_job(f.c.make_job("j", hosts));
        CHECK(f.c.ends("j", job_state::completed, 800ms));
        LONGS_EQUAL(0, f.c.hosts.expired_runs);
        STRCMP_EQUAL("", f.c.breaches().c_str());
    }
}

// A host is cut off while it is not polled, and then work arrives. Guards against starts that are
// ordered there on the basis of minutes-old state.
TEST(idle_hosts, work_does_not_wait_for_an_unpolled_host_that_is_cut_off)
{
    idle_fleet_fixture f(4);
    f.c.hosts.cut(f.c.hosts.machines.begin()->first, 30s);
    f.c.time.run_for(10s);
    f.c.put_job(f.c.make_job("j", 8));
    CHECK(f.c.ends("j", job_state::completed, 1s));
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// The coordinator dies while its hosts are not polled. Its successor must find the hosts and
// determine their runs as in any other takeover.
TEST(idle_hosts, a_successor_finds_hosts_that_were_not_polled)
{
    idle_fleet_fixture f(10);
    f.c.time.run_for(10s);
    f.c.leader()->process.dead = true;
    f.c.add_node();
    CHECK(f.c.has_leader());
    f.c.put_job(f.c.make_job("j", 10));
    CHECK(f.c.ends("j", job_state::completed, 3s));
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// With thousands of hosts, the polls of idle hosts are delayed. These hosts must get work without
// a delay, and their run ends must be seen.
TEST(idle_hosts, in_a_large_pool_rarely_polled_hosts_run_work)
{
    constexpr int hosts = 4000;
    idle_fleet_fixture f(hosts, false);
    auto long_running_job = f.c.make_job("keeps the pool open", 1, 400);
    f.c.put_job(long_running_job);
    f.c.time.run_for(3s);
    const auto polls = f.count_polls(4s);
    const auto bound = 4 * f.c.settings.max_idle_polls_per_second;
    CHECK(polls < 1.3 * bound);
    f.c.put_job(f.c.make_job_on_each("j", 200));
    CHECK(f.c.ends("j", job_state::completed, 1500ms));
    LONGS_EQUAL(0, f.c.hosts.expired_runs);
    STRCMP_EQUAL("", f.c.breaches().c_str());
}

// Pattern: a coordinator begins with thousands of idle hosts. Guards against polls in step: all
// answers come in the same moment, and a delay of that moment costs all leases.
TEST(idle_hosts, polls_spread_over_their_interval)
{
    idle_fleet_fixture f(400);
    auto lasting = f.c.make_job("j", 1);
    lasting.steps[0].long_running = true;
    f.c.put_job(lasting);
    f.c.time.run_for(6s);
    constexpr int slots = 40;
    int most = 0;
    int all = 0;
    for (int i = 0; i < slots; ++i)
    {
        const int polls = f.count_polls(100ms);
        most = std::max(most, polls);
        all += polls;
    }
    CHECK(all > 0);
    CHECK(most * slots < 2 * all);
}

// Guards against hosts of a small fleet, or of one that has shrunk, that are polled after a part of
// the usual wait for ever.
TEST(idle_hosts, in_a_small_fleet_a_poll_waits_as_long_as_it_may)
{
    constexpr int hosts = 50;
    idle_fleet_fixture f(hosts, false);
    const auto interval = f.c.settings.poll_wait;
    CHECK(f.count_polls(10 * interval) <= 11 * hosts);
}
