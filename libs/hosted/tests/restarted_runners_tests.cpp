#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

TEST_GROUP(restarted_runners)
{
    cluster c;

    void begin(int hosts, int nodes = 1)
    {
        c.hosts.kept_id_share = 1;
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
};

// Guards against taking the ends that a restarted runner reports for acknowledged ones of its
// earlier incarnation: tasks that finished would run a second time.
TEST(restarted_runners, their_ends_are_not_taken_for_earlier_ones)
{
    begin(1);
    c.put_job(c.make_job("a", 6));
    CHECK(c.ends("a", job_state::completed, 5s));
    c.time.run_for(1s);
    c.hosts.crash("m1", 300ms);
    c.time.run_for(4s);
    c.put_job(c.make_job("b", 3));
    c.ends("b", job_state::completed, 20s);
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(9, c.hosts.starts);
}

// Guards against measuring leases that were granted to an earlier incarnation on the clock of the
// next one: accepted jobs would wait for as long as the earlier one had lived.
TEST(restarted_runners, their_leases_end_by_their_own_clock)
{
    begin(2, 2);
    c.time.run_for(60s);
    c.hosts.crash("m1", 300ms);
    c.time.run_for(2s);
    c.hosts.cut("m1", 600s);
    c.time.run_for(5s);
    c.put_job(c.make_job("a", 2));
    c.leader()->process.dead = true;
    CHECK(c.has_leader());
    CHECK(c.ends("a", job_state::completed, 10s));
    STRCMP_EQUAL("", c.breaches().c_str());
}
