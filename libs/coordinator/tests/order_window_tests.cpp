#include "coordinator/order_window.hpp"
#include "world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(order_window)
{
    window_settings s;
    order_window w;
};

// A loop that was late ten times the bound gets a quarter of the orders at the next look, and never
// fewer than the least: nothing would come back to make it grow again.
TEST(order_window, a_late_loop_gets_fewer_orders)
{
    w.size = 200;
    see_delay(w, s, s.late * 10);
    LONGS_EQUAL(50, w.size);
    for (int i = 0; i < 10; ++i)
    {
        see_delay(w, s, s.late * 10);
    }
    LONGS_EQUAL(s.least, w.size);
    LONGS_EQUAL(s.longest_gap.count(), w.gap.count());
}

TEST(order_window, it_is_cut_by_how_late_the_loop_was)
{
    w.size = 200;
    see_delay(w, s, s.late * 2);
    LONGS_EQUAL(100, w.size);
}

// A window that was not in the way says nothing about a larger one.
TEST(order_window, it_grows_only_when_it_was_in_the_way)
{
    see_delay(w, s, 0ms);
    LONGS_EQUAL(s.first, w.size);
    w.was_in_the_way = true;
    see_delay(w, s, 0ms);
    LONGS_EQUAL(s.first + s.step, w.size);
    CHECK(!w.was_in_the_way);
}

TEST(order_window, the_gap_shrinks_in_time)
{
    w.gap = s.longest_gap;
    for (int i = 0; i < 100; ++i)
    {
        see_delay(w, s, 0ms);
    }
    LONGS_EQUAL(s.shortest_gap.count(), w.gap.count());
}

TEST(order_window, room_is_what_is_left_and_a_slice_at_most)
{
    w.size = 100;
    LONGS_EQUAL(s.most_at_once, room_for_orders(w, s, 0));
    LONGS_EQUAL(5, room_for_orders(w, s, 95));
    LONGS_EQUAL(0, room_for_orders(w, s, 120));
}

// What has no room isn't ordered: it waits in its order of service, and the next plan goes on.
TEST(order_window, a_plan_without_room_leaves_the_rest_waiting)
{
    world v;
    v.add_host("h1");
    v.add(make_job("a", {make_step(4, 1000)}));
    const auto first = make_plan(v.f, v.now, wall, true, v.events, 3);
    LONGS_EQUAL(3, first.starts.size());
    CHECK(first.cut);
    const auto second = make_plan(v.f, v.now, wall, true, v.events, 3);
    LONGS_EQUAL(1, second.starts.size());
    CHECK(!second.cut);
}

// One whose turn comes later doesn't overtake what was left waiting.
TEST(order_window, nothing_overtakes_what_waits_for_room)
{
    world v;
    v.add_host("h1");
    v.add(make_job("a", {make_step(2, 1000)}));
    auto later = make_job("b", {make_step(2, 1000)});
    later.accepted_unix_ms = wall + 1;
    later.priority = 1;
    v.add(later);
    const auto p = make_plan(v.f, v.now, wall, true, v.events, 1);
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("a", p.starts[0].task.job.c_str());
}

// Stops take of the same room, and come first: they make room on hosts.
TEST(order_window, stops_come_before_starts)
{
    world v;
    v.add_host("h1");
    v.add(make_job("a", {make_step(2, 1000)}));
    for (const auto& it : v.next().starts)
    {
        v.started(it);
    }
    cancel_job(v.f, "a", v.now, v.events);
    v.add(make_job("b", {make_step(1, 1000)}));
    const auto p = make_plan(v.f, v.now, wall, true, v.events, 1);
    LONGS_EQUAL(1, p.stops.size());
    LONGS_EQUAL(0, p.starts.size());
    CHECK(p.cut);
    LONGS_EQUAL(1, make_plan(v.f, v.now, wall, true, v.events, 1).stops.size());
}
