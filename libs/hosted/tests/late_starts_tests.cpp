#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

// In these tests, runners accept a start whose own lease has ended while another lease of theirs
// lasts.
TEST_GROUP(late_starts)
{
    cluster c;
    daemon_fakes::process surviving_process; ///< carries out starts after their sender has died
    ports::runners surviving_runners;
    core::millis start_delay{0}; ///< delay of starts on the first runner; 0: none is delayed

    /// Lets starts on the first runner get no answer and be carried out after start_delay.
    void delay_starts()
    {
        surviving_runners = c.hosts.runner_port(surviving_process);
        c.customize_node = [this](node& n)
        {
            n.ctx.runners.start = [this, &n, real = n.ctx.runners.start](
                                      const auto& to, const auto& order, const auto& done)
            {
                if (start_delay.count() == 0 || to.address != first_address())
                {
                    real(to, order, done);
                    return;
                }
                const auto ignore_answer = [](const ports::runner_answer&) {
                };
                c.time.after(
                    start_delay, [=, this] { surviving_runners.start(to, order, ignore_answer); });
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
        c.hosts.accepts_starts_under_any_lease = true;
        c.hosts.behaviour.run_time = 6s;
        delay_starts();
        c.hosts.add("p");
        c.hosts.add("p");
        for (int i = 0; i < nodes; ++i)
        {
            c.add_node();
        }
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    /// Submits a job whose start on the first runner is delayed, and cuts that runner off for
    /// longer than its leases, until shortly before the start arrives.
    void abandon_a_start()
    {
        start_delay = 5300ms;
        c.put_job(c.make_job_on_each("a", 2));
        c.time.run_for(100ms);
        c.hosts.cut("m1", 4s);
        c.time.run_for(1s);
        start_delay = 0ms;
        CHECK(c.time.run_until([this] { return c.hosts.starts == 2; }, 3s));
    }
};

// A start is abandoned because its runner's leases have ended. Guards against its being carried out
// once the runner has a new lease, so that the task runs twice.
TEST(late_starts, an_abandoned_start_never_begins)
{
    begin(1);
    abandon_a_start();
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(2, c.hosts.starts);
}

// As before, and the coordinator that abandoned the start dies before the start is carried out.
TEST(late_starts, an_abandoned_start_never_begins_under_a_successor)
{
    begin(2);
    abandon_a_start();
    const auto& h = c.hosts.machines.at("m1");
    CHECK(c.time.run_until([&] { return h.lease_until_ms > c.time.passed_ms(); }, 3s));
    c.leader()->process.dead = true;
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(2, c.hosts.starts);
}

// Failure: a runner carries out a start after the job was cancelled and after the node that sent it
// has died. Guards against a successor that leaves the run of such a job active.
TEST(late_starts, a_start_of_a_cancelled_job_is_stopped_after_its_sender_died)
{
    struct row
    {
        const char* what;
        core::millis delay;
    };
    for (const auto& it : {row{"before the sender dies", 150ms},
             row{"while no node leads", 900ms},
             row{"about when the successor polls", 1800ms},
             row{"after the successor polled", 4000ms}})
    {
        cluster fresh;
        std::swap(fresh.settings, c.settings);
        auto& at = fresh;
        at.hosts.behaviour.run_time = 60s;
        start_delay = it.delay;
        surviving_process = {};
        surviving_runners = at.hosts.runner_port(surviving_process);
        at.customize_node = [&](node& n)
        {
            n.ctx.runners.start = [&](const auto& to, const auto& order, const auto&)
            {
                at.time.after(start_delay,
                    [&at, this, to, order]
                    { surviving_runners.start(to, order, [](const ports::runner_answer&) {}); });
            };
        };
        at.hosts.add("p");
        at.add_node();
        at.add_node();
        CHECK(at.has_leader());
        at.time.run_for(1s);
        at.put_job(at.make_job("a", 2));
        at.time.run_for(100ms);
        at.store.put(hosted::cancel_key("a"), "1");
        at.time.run_for(100ms);
        at.leader()->process.dead = true;
        CHECK_TEXT(at.ends("a", job_state::cancelled, 5s), it.what);
        at.time.run_for(it.delay);
        CHECK_TEXT(at.time.run_until([&] { return at.running() == 0; }, 3s), it.what);
        STRCMP_EQUAL_TEXT("", at.breaches().c_str(), it.what);
    }
}
