#include "coordinator/throttling.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(throttling)
{
    fleet_fixture w;

    /// A task with a latency target and a best-effort task on one host, both running.
    void prepare()
    {
        w.add_host("h1");
        auto serving_step = make_step(1, 1000);
        serving_step.tail_latency_target = 40ms;
        serving_step.long_running = true;
        auto best_effort_step = make_step(1, 2000);
        best_effort_step.best_effort = true;
        w.accept_job(make_job("a", {serving_step, best_effort_step}));
        for (const auto& it : w.plan_next().starts)
        {
            w.answer_start(it);
        }
    }

    run_entry& run(std::size_t step)
    {
        return w.f.jobs.at("a")->tasks[step].runs[0];
    }

    /// Advances by half a second with this tail latency. \return the processor share of the
    /// best-effort task after it, in percent.
    int after(std::int64_t tail)
    {
        run(0).load_metric = tail;
        w.now += 500ms;
        plan_throttling(w.f, {}, w.now, w.events);
        return run(1).cpu_percent;
    }
};

// A best-effort task slows down a task with a latency target. After four metrics of half a second
// each it is almost stopped, so the target is not missed for seconds; when the latency is low
// again, its share grows again.
TEST(throttling, a_best_effort_task_is_slowed_and_speeds_up_again)
{
    prepare();
    LONGS_EQUAL(100, after(20));
    LONGS_EQUAL(50, after(60));
    LONGS_EQUAL(25, after(60));
    LONGS_EQUAL(12, after(60));
    LONGS_EQUAL(6, after(50));
    LONGS_EQUAL(0, after(50));
    LONGS_EQUAL(0, after(30)); // between the marks
    LONGS_EQUAL(15, after(10));
}

// In this model the best-effort task adds to the tail latency in proportion to its share, by a
// factor that changes every few seconds. The target must never be missed for more than two seconds.
TEST(throttling, changing_interference_is_followed)
{
    prepare();
    core::millis over{0};
    core::millis longest{0};
    for (int i = 0; i < 120; ++i)
    {
        const double factor = (i / 12) % 2 == 0 ? 0.2 : 1.0;
        const auto tail = static_cast<std::int64_t>(15 + run(1).cpu_percent * factor);
        after(tail);
        over = tail > 40 ? over + 500ms : 0ms;
        longest = std::max(longest, over);
    }
    CHECK(longest <= 2000ms);
}

TEST(throttling, a_best_effort_task_starts_where_it_does_not_interfere)
{
    prepare();
    w.add_host("h2");
    auto best_effort_step = make_step(1, 2000);
    best_effort_step.best_effort = true;
    w.f.hosts["h2"].used.cpu = 3000; // less free capacity, but no task with a latency target
    w.accept_job(make_job("b", {best_effort_step}));
    const auto p = w.plan_next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("h2", p.starts[0].host.id.c_str());
}
