#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(life_proofs)
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

// Guards against taking the answer from an address that was handed on for the end of the runner
// that had it: cut off, it works until its lease ends, and its task would run twice.
TEST(life_proofs, another_runner_at_the_address_of_a_dark_one_ends_no_run)
{
    begin(3);
    auto j = c.make_job_on_each("a", 3);
    j.steps[0].long_running = true;
    c.put_job(j);
    c.time.run_for(1s);
    LONGS_EQUAL(3, c.running());
    c.hosts.cut("m1", 20s);
    c.hosts.hand_on_address("m1");
    c.time.run_for(1s);
    STRCMP_EQUAL("", c.breaches().c_str());
    CHECK(c.time.run_until([&] { return c.hosts.starts == 4; }, 4s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against waiting for leases where the list of machines shows that the runner has ended.
TEST(life_proofs, a_crashed_runner_whose_machine_is_back_is_not_waited_for)
{
    begin(2);
    auto j = c.make_job("a", 2);
    j.steps[0].long_running = true;
    c.put_job(j);
    c.time.run_for(1s);
    LONGS_EQUAL(2, c.running());
    c.hosts.crash("m1", 300ms);
    CHECK(c.time.run_until([&] { return c.running() == 2; }, 1500ms));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against leaving a sound runner idle for good: once it was taken for ended, it was looked
// at again only when some entry of the list of runners changed.
TEST(life_proofs, a_runner_taken_for_ended_is_used_again)
{
    bool other_answers = false;
    c.plant = [&](node& n)
    {
        n.ctx.runners.poll = [&, real = n.ctx.runners.poll](
                                 const auto& to, const auto& order, const auto& done)
        {
            if (!other_answers || to.address != c.hosts.machines.at("m1").address)
            {
                real(to, order, done);
                return;
            }
            ports::poll_answer other;
            other.call = {ports::runner_verdict::other_life, -1};
            n.ctx.time.after(2ms, [done, other] { done(other); });
        };
    };
    begin(2);
    other_answers = true;
    c.time.run_for(5s);
    other_answers = false;
    c.time.run_for(c.settings.rules.ended_runner_retention);
    auto j = c.make_job_on_each("a", 2);
    j.steps[0].long_running = true;
    c.put_job(j);
    CHECK(c.time.run_until([&] { return c.running() == 2; }, 3s));
    STRCMP_EQUAL("", c.breaches().c_str());
}
