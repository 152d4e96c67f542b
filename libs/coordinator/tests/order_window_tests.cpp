#include "coordinator/order_window.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(order_window)
{
    order_window_settings s;
    order_window w;
};

// A loop that was late by ten times the bound gets a quarter of the orders, and never fewer than
// the minimum: without answers the window could not grow again.
TEST(order_window, a_late_loop_reduces_the_size)
{
    w.size = 200;
    record_loop_delay(w, s, s.late_threshold * 10);
    LONGS_EQUAL(50, w.size);
    for (int i = 0; i < 10; ++i)
    {
        record_loop_delay(w, s, s.late_threshold * 10);
    }
    LONGS_EQUAL(s.min_size, w.size);
    LONGS_EQUAL(s.max_poll_delay.count(), w.poll_delay.count());
}

TEST(order_window, the_size_falls_in_proportion_to_the_delay)
{
    w.size = 200;
    record_loop_delay(w, s, s.late_threshold * 2);
    LONGS_EQUAL(100, w.size);
}

// If the window didn't limit sending, this gives no reason to grow it.
TEST(order_window, the_size_grows_only_when_it_limited_sending)
{
    record_loop_delay(w, s, 0ms);
    LONGS_EQUAL(s.initial_size, w.size);
    w.was_limiting = true;
    record_loop_delay(w, s, 0ms);
    LONGS_EQUAL(s.initial_size + s.growth_step, w.size);
    CHECK(!w.was_limiting);
}

TEST(order_window, the_poll_delay_falls_while_the_loop_is_in_time)
{
    w.poll_delay = s.max_poll_delay;
    for (int i = 0; i < 100; ++i)
    {
        record_loop_delay(w, s, 0ms);
    }
    LONGS_EQUAL(s.min_poll_delay.count(), w.poll_delay.count());
}

TEST(order_window, allowed_orders_are_bounded_by_window_and_iteration)
{
    w.size = 100;
    LONGS_EQUAL(s.max_orders_per_iteration, allowed_orders(w, s, 0));
    LONGS_EQUAL(5, allowed_orders(w, s, 95));
    LONGS_EQUAL(0, allowed_orders(w, s, 120));
}

// Orders beyond the bound are not decided: they wait in their order of service for the next plan.
TEST(order_window, a_bounded_plan_leaves_other_tasks_waiting)
{
    fleet_fixture v;
    v.add_host("h1");
    v.accept_job(make_job("a", {make_step(4, 1000)}));
    const auto first = make_plan(v.f, v.now, wall_ms, true, v.events, 3);
    LONGS_EQUAL(3, first.starts.size());
    CHECK(first.truncated);
    const auto second = make_plan(v.f, v.now, wall_ms, true, v.events, 3);
    LONGS_EQUAL(1, second.starts.size());
    CHECK(!second.truncated);
}

// A step later in the order of service must not overtake one that was left waiting.
TEST(order_window, later_steps_do_not_overtake_waiting_ones)
{
    fleet_fixture v;
    v.add_host("h1");
    v.accept_job(make_job("a", {make_step(2, 1000)}));
    auto later = make_job("b", {make_step(2, 1000)});
    later.accepted_unix_ms = wall_ms + 1;
    later.priority = 1;
    v.accept_job(later);
    const auto p = make_plan(v.f, v.now, wall_ms, true, v.events, 1);
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("a", p.starts[0].task.job.c_str());
}

// Stops count against the same bound and come first, since they free capacity on hosts.
TEST(order_window, stops_come_before_starts)
{
    fleet_fixture v;
    v.add_host("h1");
    v.accept_job(make_job("a", {make_step(2, 1000)}));
    for (const auto& it : v.plan_next().starts)
    {
        v.answer_start(it);
    }
    cancel_job(v.f, "a", v.now, v.events);
    v.accept_job(make_job("b", {make_step(1, 1000)}));
    const auto p = make_plan(v.f, v.now, wall_ms, true, v.events, 1);
    LONGS_EQUAL(1, p.stops.size());
    LONGS_EQUAL(0, p.starts.size());
    CHECK(p.truncated);
    LONGS_EQUAL(1, make_plan(v.f, v.now, wall_ms, true, v.events, 1).stops.size());
}
