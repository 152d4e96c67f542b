#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

// Runners take a start whose own lease has ended as long as another lease of theirs lasts.
TEST_GROUP(late_starts)
{
    cluster c;
    daemon_fakes::process ghost; ///< sends what outlives its caller
    ports::runners late;
    core::millis late_by{0}; ///< of starts on the first runner; 0: they are in time

    /// Starts on the first runner get no answer and are carried out late.
    void plant_late_starts()
    {
        late = c.hosts.runner_port(ghost);
        c.plant = [this](node& n)
        {
            n.ctx.runners.start = [this, &n, real = n.ctx.runners.start](
                                      const auto& to, const auto& order, const auto& done)
            {
                if (late_by.count() == 0 || to.address != first_address())
                {
                    real(to, order, done);
                    return;
                }
                const auto unheard = [](const ports::runner_answer&) {
                };
                c.time.after(late_by, [=, this] { late.start(to, order, unheard); });
                n.ctx.time.after(700ms, [done] { done({ports::runner_verdict::unknown, -1}); });
            };
        };
    }

    std::string first_address() const
    {
        return c.hosts.machines.at("m1").address;
    }

    void begin(int nodes)
    {
        c.hosts.takes_starts_by_any_lease = true;
        c.hosts.behaviour.run_time = 6s;
        plant_late_starts();
        c.hosts.add("p");
        c.hosts.add("p");
        for (int i = 0; i < nodes; ++i)
        {
            c.add_node();
        }
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    /// A job's start on the first runner is under way, and the runner is cut off for longer than
    /// its leases, until shortly before the start arrives.
    void give_up_a_start()
    {
        late_by = 5300ms;
        c.put_job(c.make_job_on_each("a", 2));
        c.time.run_for(100ms);
        c.hosts.cut("m1", 4s);
        c.time.run_for(1s);
        late_by = 0ms;
        CHECK(c.time.run_until([this] { return c.hosts.starts == 2; }, 3s));
    }
};

// A start that was given up with its runner's leases is carried out once the runner has a lease
// anew: its task ran twice.
TEST(late_starts, a_start_that_was_given_up_never_begins)
{
    begin(1);
    give_up_a_start();
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(2, c.hosts.starts);
}

// The owner that gave the start up dies before the start is carried out.
TEST(late_starts, a_start_that_was_given_up_never_begins_under_a_successor)
{
    begin(2);
    give_up_a_start();
    const auto& h = c.hosts.machines.at("m1");
    CHECK(c.time.run_until([&] { return h.lease_until_ms > c.time.passed_ms(); }, 3s));
    c.leader()->process.dead = true;
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(2, c.hosts.starts);
}
