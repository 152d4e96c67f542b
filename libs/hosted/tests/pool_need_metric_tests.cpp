#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(pool_need_metric)
{
    /// By node, pool and resource; the nodes report at their end as well.
    std::map<std::string, std::map<std::string, double>> reported;
    cluster c;

    void setup() override
    {
        c.customize_node = [this](node& n)
        {
            n.ctx.tel.gauge =
                [&](const std::string& name, const ports::metric_labels& labels, double v)
            {
                if (name == "camphorhitch_pool_need")
                {
                    STRCMP_EQUAL("pool", labels.at(0).first.c_str());
                    STRCMP_EQUAL("resource", labels.at(1).first.c_str());
                    reported[n.ctx.member][labels[0].second + " " + labels[1].second] = v;
                }
            };
        };
    }
};

// Guards against a need that operators see on two nodes because a node that no longer coordinates
// kept the values of its last plan.
TEST(pool_need_metric, only_the_coordinator_reports_the_need)
{
    c.hosts.behaviour.run_time = 60s;
    c.hosts.add("p");
    c.add_node().driver->set_pools({{"p", false}});
    c.add_node().driver->set_pools({{"p", false}});
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto j = c.make_job("a", 2);
    j.steps[0].need = {1000, 512, 0};
    j.steps[0].long_running = true;
    c.put_job(j);
    c.time.run_for(2s);
    auto* const previous = c.leader();
    auto& of_previous = reported[previous->ctx.member];
    DOUBLES_EQUAL(2, of_previous["p cores"], 1e-9);
    DOUBLES_EQUAL(1024, of_previous["p memory_mb"], 1e-9);
    DOUBLES_EQUAL(0, of_previous["p gpus"], 1e-9);
    for (int i = 0; i < 20 && c.leader() == previous; ++i)
    {
        c.store.revoke(hosted::leader_key); // either node may become the coordinator
        c.time.run_for(3s);
    }
    CHECK(c.leader() != nullptr && c.leader() != previous);
    DOUBLES_EQUAL(0, of_previous["p memory_mb"], 1e-9);
    DOUBLES_EQUAL(1024, reported[c.leader()->ctx.member]["p memory_mb"], 1e-9);
}
