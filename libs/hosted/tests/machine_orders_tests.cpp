#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(machine_orders)
{
    cluster c;
    daemon_fakes::process surviving_process; ///< carries out orders after their sender has died

    void begin(int hosts, int nodes = 1)
    {
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

// A maintenance order is repeated because its answer was lost. Guards against taking the answer to
// the repeat as evidence that the runner which came up after the maintenance has ended: its tasks
// would start a second time elsewhere.
TEST(machine_orders, a_lost_answer_to_a_maintenance_order_ends_no_run)
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
    c.hosts.add("p"); // capacity for tasks that would start a second time
    c.time.run_for(8s);
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(3, c.running());
    STRCMP_EQUAL("completed", c.store.find("wave-status/1")->value.c_str());
}

// Guards against a wave that never ends and keeps its hosts closed: the repeat of an order waits
// for a host whose tasks cannot be placed elsewhere, since the wave keeps all other hosts closed.
TEST(machine_orders, a_lost_answer_does_not_block_a_wave_over_a_whole_pool)
{
    begin(3);
    auto j = c.make_job("a", 2);
    j.steps[0].long_running = true;
    c.put_job(j);
    c.time.run_for(1s);
    c.hosts.machine_answers_to_lose = 2;
    c.nodes.front().driver->set_waves({{1, {"m1", "m2", "m3"}, 10s, 1}});
    c.time.run_for(60s);
    STRCMP_EQUAL("completed", c.store.find("wave-status/1")->value.c_str());
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A successor repeats the maintenance order of the previous coordinator. Guards against taking the
// healthy runner that came up after the maintenance for ended: the list's entry of it would be
// ignored for half a minute, and its host would stay idle.
TEST(machine_orders, a_successors_repeat_does_not_end_the_next_runner)
{
    begin(3, 2);
    c.hosts.machine_answers_to_lose = 1;
    for (auto& it : c.nodes)
    {
        it.driver->set_waves({{1, {"m1"}, 10s, 1}});
    }
    CHECK(c.time.run_until([&] { return !c.hosts.machines.at("m1").up; }, 2s));
    c.leader()->process.dead = true;
    CHECK(c.time.run_until([&] { return c.hosts.machines.at("m1").up; }, 2s));
    const auto new_runner = c.hosts.machines.at("m1").runner;
    c.time.run_for(8s);
    STRCMP_EQUAL("completed", c.store.find("wave-status/1")->value.c_str());
    STRCMP_EQUAL(new_runner.c_str(), c.hosts.machines.at("m1").runner.c_str());
    auto j = c.make_job_on_each("a", 3);
    j.steps[0].long_running = true;
    c.put_job(j);
    CHECK(c.time.run_until([&] { return c.running() == 3; }, 5s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against giving a machine's place in a wave to another machine while an unanswered order
// for the first may still be carried out: the refusal of a repeat proves nothing about the order
// before.
TEST(machine_orders, a_refused_repeat_keeps_the_place_of_an_unanswered_order)
{
    const auto surviving_machines = c.hosts.machine_port(surviving_process);
    int orders = 0;
    c.customize_node = [&](node& n)
    {
        n.ctx.machines.maintain =
            [&, real = n.ctx.machines.maintain](
                const auto& machine, std::int64_t wave, std::int64_t token, const auto& done)
        {
            ++orders;
            if (orders == 1)
            {
                const auto ignore_answer = [](ports::machine_verdict) {
                };
                c.time.after(
                    3s, [=] { surviving_machines.maintain(machine, wave, token, ignore_answer); });
                n.ctx.time.after(1s, [done] { done(ports::machine_verdict::unknown); });
            }
            else if (orders == 2)
            {
                n.ctx.time.after(1ms, [done] { done(ports::machine_verdict::refused); });
            }
            else
            {
                real(machine, wave, token, done);
            }
        };
    };
    c.hosts.behaviour.run_time = 1500ms;
    begin(2);
    c.put_job(c.make_job("a", 1));
    CHECK(c.time.run_until([&] { return c.running() == 1; }, 1s));
    const std::string busy = c.hosts.machines.at("m1").runs.empty() ? "m2" : "m1";
    const std::string idle = busy == "m1" ? "m2" : "m1";
    c.nodes.front().driver->set_waves({{1, {busy, idle}, 60s, 1}});
    const auto both_down = [&]
    {
        return !c.hosts.machines.at("m1").up && !c.hosts.machines.at("m2").up;
    };
    CHECK_FALSE(c.time.run_until(both_down, 12s));
}
