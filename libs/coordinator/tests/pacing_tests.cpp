#include "coordinator/pacing.hpp"
#include "world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(pacing)
{
    world w;

    /// A serving task and a filler on one host, both running.
    void prepare()
    {
        w.add_host("h1");
        auto serving = make_step(1, 1000);
        serving.tail_latency_target = 40ms;
        serving.long_running = true;
        auto filler = make_step(1, 2000);
        filler.best_effort = true;
        w.add(make_job("a", {serving, filler}));
        for (const auto& it : w.next().starts)
        {
            w.started(it);
        }
    }

    run_entry& run(std::size_t step)
    {
        return w.f.jobs.at("a")->tasks[step].runs[0];
    }

    /// One half second with this tail latency. \return the filler's pace after it.
    int after(std::int64_t tail)
    {
        run(0).load_metric = tail;
        w.now += 500ms;
        plan_paces(w.f, {}, w.now, w.events);
        return run(1).cpu_percent;
    }
};

// A filler disturbs a serving task. Within four half-second figures it is as good as stopped, so
// the task is never over its target for seconds; once all is calm it comes back.
TEST(pacing, a_filler_yields_and_comes_back)
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

// A model in which the filler adds to the tail latency in proportion, by a factor that changes
// within seconds: the serving task is never over its target for as long as its users would mind.
TEST(pacing, a_changing_disturbance_is_followed)
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

TEST(pacing, a_filler_goes_where_it_disturbs_nobody)
{
    prepare();
    w.add_host("h2");
    auto filler = make_step(1, 2000);
    filler.best_effort = true;
    w.f.hosts["h2"].used.cpu = 3000; // busier, but serves nobody
    w.add(make_job("b", {filler}));
    const auto p = w.next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("h2", p.starts[0].host.id.c_str());
}
