#include "coordinator/throttling.hpp"
#include "fleet_fixture.hpp"
#include "workflow/records.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(throttling)
{
    fleet_fixture w;

    /// Accepts a job with a task with a latency target and a best-effort task.
    void accept_both()
    {
        auto serving_step = make_step(1, 1000);
        serving_step.tail_latency_target = 40ms;
        serving_step.long_running = true;
        auto best_effort_step = make_step(1, 2000);
        best_effort_step.best_effort = true;
        w.accept_job(make_job("a", {serving_step, best_effort_step}));
    }

    /// Both tasks run on one host.
    void prepare(const std::string& host = "h1")
    {
        w.add_host(host);
        accept_both();
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

    /// A poll of the host is answered by an incarnation that lists the first run of both tasks.
    /// \param share processor share that the runner applies to the best-effort task, in percent
    void list_both(const std::string& host, std::int64_t born_ms, int share)
    {
        const std::int64_t run_number = w.f.jobs.at("a")->tasks[0].highest_run_number;
        ports::poll_answer it;
        it.call = {ports::runner_verdict::done, w.clock_ms(), born_ms};
        it.running = {
            {"a.0.0.0", run_number, {}, 100, 30}, {"a.0.1.0", run_number, {}, 0, share * 20}};
        w.now += 10ms;
        handle_poll_answer(w.f, host, w.now, it, w.now, w.events);
    }

    /// Advances by four seconds with this tail latency, while the runner applies all orders.
    /// \return the share that it applies to the best-effort task afterwards
    int applied_after(std::int64_t tail, int share)
    {
        for (int i = 0; i < 8; ++i)
        {
            run(0).load_metric = tail;
            run(1).load_metric = share * 20;
            w.now += 500ms;
            for (const auto& it : plan_throttling(w.f, {}, w.now, w.events))
            {
                share = it.cpu_percent;
            }
        }
        return share;
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

// Guards against a best-effort task that stays paused, or is sped up while it disturbs others,
// since only the previous coordinator knew its share.
TEST(throttling, the_share_of_an_adopted_task_is_ordered)
{
    struct row
    {
        int share; ///< ordered by the previous coordinator
        std::int64_t tail;
        int share_after;
    };
    for (const auto& it : {row{0, 10, 100}, row{0, 60, 0}, row{100, 10, 100}, row{100, 60, 0}})
    {
        w = {};
        w.add_host("h1");
        accept_both();
        w.f.jobs.at("a")->tasks[0].highest_run_number = 1;
        list_both("h1", 0, it.share);
        const auto orders_before = w.events.size();
        LONGS_EQUAL(it.share_after, applied_after(it.tail, it.share));
        CHECK(it.share != it.share_after || w.events.size() == orders_before + 1);
    }
}

// Guards against a best-effort task that disturbs others at full speed, where the next incarnation
// has started it, since its share at the incarnation before was 0.
TEST(throttling, a_task_that_passed_on_is_slowed_again)
{
    prepare("h1/1700000000000");
    for (int i = 0; i < 5; ++i)
    {
        after(60);
    }
    LONGS_EQUAL(0, run(1).cpu_percent);
    list_both("h1/1700000000000", 1'700'000'060'000, 100);
    STRCMP_EQUAL("h1/1700000060000", run(1).host.c_str());
    LONGS_EQUAL(0, applied_after(60, 100));
}

// Guards against a share that stays wrong without end: the order for it is lost, or an earlier one
// takes effect after it.
TEST(throttling, a_share_is_ordered_again_until_no_earlier_order_can_change_it)
{
    constexpr int calm = 30; // between the marks
    struct row
    {
        const char* text;
        ports::runner_answer answer;
        bool newer_order; ///< a newer order is sent before the answer arrives
        int seconds;      ///< after the answer, for which the share is ordered again
    };
    const row rows[] = {
        {"done", {ports::runner_verdict::done, 1000}, false, 0},
        {"done after a newer order", {ports::runner_verdict::done, 1000}, true, 1},
        {"by another incarnation", {ports::runner_verdict::done, 1000, 1}, false, 15},
        {"unknown", {ports::runner_verdict::unknown, -1}, false, 15},
        {"not sent", {ports::runner_verdict::not_sent, -1}, false, 15},
    };
    for (const auto& it : rows)
    {
        w = {};
        prepare("h1/1700000000000");
        LONGS_EQUAL(50, after(60));
        const throttle_action sent{
            w.f.hosts.begin()->second.ref, {"a", 0, 1, 0}, run(1).number, 50};
        const int share = it.newer_order ? after(60) : 50;
        handle_throttle_answer(w.f, sent, it.answer, w.now);
        for (int i = 1; i <= 36; ++i)
        {
            const auto orders_before = w.events.size();
            LONGS_EQUAL_TEXT(share, after(calm), it.text);
            const bool ordered = w.events.size() > orders_before;
            CHECK_EQUAL_TEXT(i < 2 * it.seconds, ordered, it.text);
        }
    }
}
