#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(machine_orders)
{
    cluster c;

    void begin(int hosts)
    {
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }
};

// Guards against taking the answer to a repeated order for proof about the runner that came after
// the maintenance: what runs there would start a second time elsewhere.
TEST(machine_orders, a_lost_answer_of_a_maintenance_ends_no_runner_at_work)
{
    begin(3);
    c.hosts.machine_answers_to_lose = 2;
    c.nodes.front().driver->set_waves({{1, {"m1"}, 10s, 1}});
    CHECK(c.time.run_until([&] { return !c.hosts.machines.at("m1").up; }, 2s));
    CHECK(c.time.run_until([&] { return c.hosts.machines.at("m1").up; }, 2s));
    auto j = c.make_job_on_each("a", 3);
    j.steps[0].long_running = true;
    c.put_job(j);
    CHECK(c.time.run_until([&] { return c.running() == 3; }, 1s));
    c.hosts.add("p"); // room for what would start a second time
    c.time.run_for(8s);
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(3, c.running());
    STRCMP_EQUAL("completed", c.store.find("wave-status/1")->value.c_str());
}
