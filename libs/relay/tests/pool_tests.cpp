#include "fixture.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::relay;
using namespace camphorhitch::relay::testing;
using namespace std::chrono_literals;
using ports::runner_verdict;

TEST_GROUP(relay_pool)
{
    pool_fixture b;

    /// \return the answer of a start through the pool.
    ports::runner_answer start(const std::string& runner, std::int64_t token = 1)
    {
        std::optional<ports::runner_answer> out;
        b.start(
            runner, "t", [&](const ports::runner_answer& it) { out = it; }, token);
        CHECK(b.run_until([&] { return out.has_value(); }));
        return out.value_or(ports::runner_answer{});
    }

    /// \return the members whose relay called the runner.
    std::set<std::string> callers_of(const std::string& runner)
    {
        std::set<std::string> out;
        for (const auto& r : b.relays)
        {
            for (const auto& it : r.runners.received_orders)
            {
                if (it.find(' ' + runner) != std::string::npos)
                {
                    out.insert(r.member);
                }
            }
        }
        return out;
    }
};

TEST(relay_pool, without_a_relay_calls_are_made_locally)
{
    b.instance->begin(1);
    b.instance->set_relays({});
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.received_orders.size());
}

// A small fleet is served well by local calls, which save a hop.
TEST(relay_pool, few_runners_are_called_locally)
{
    pool_settings s;
    s.min_runners = 3;
    pool_fixture small_fleet(s);
    small_fleet.add("a");
    small_fleet.instance->begin(1);
    small_fleet.instance->set_relays(small_fleet.endpoints());
    int answers = 0;
    const auto count = [&](const ports::poll_answer&)
    {
        ++answers;
    };
    small_fleet.poll("i-1", count);
    small_fleet.poll("i-2", count);
    CHECK(small_fleet.run_until([&] { return answers == 2; }));
    CHECK_EQUAL(2U, small_fleet.local.received_orders.size());
    small_fleet.poll("i-3", count);
    CHECK(small_fleet.run_until([&] { return answers == 3; }));
    CHECK_EQUAL(1U, small_fleet.relays.front().runners.received_orders.size());
}

TEST(relay_pool, orders_go_through_relays_and_answers_come_back)
{
    b.add("a");
    CHECK(b.connect());
    const auto got = start("i-1");
    CHECK(got.verdict == runner_verdict::done);
    CHECK_EQUAL(5, got.clock_ms);
    std::optional<ports::poll_answer> polled;
    b.poll("i-1", [&](const ports::poll_answer& it) { polled = it; });
    CHECK(b.run_until([&] { return polled.has_value(); }));
    STRCMP_EQUAL("job.0.1.2 of i-1", polled->running[0].task.c_str());
    CHECK_EQUAL(58, polled->ended[0].number);
    int more = 0;
    const auto done = [&](const ports::runner_answer& it)
    {
        more += it.verdict == runner_verdict::done ? 1 : 0;
    };
    b.port.stop({"i-1", "10.0.0.1:80", "z"}, {"t", 1, 1}, done);
    b.port.throttle({"i-1", "10.0.0.1:80", "z"}, {"t", 1, 50, 1}, done);
    CHECK(b.run_until([&] { return more == 2; }));
    CHECK(b.local.received_orders.empty());
}

TEST(relay_pool, a_runner_keeps_its_relay_and_each_relay_has_some)
{
    constexpr int runners = 60;
    b.add("a");
    b.add("b");
    b.add("c");
    CHECK(b.connect());
    int done = 0;
    for (int round = 0; round < 2; ++round)
    {
        for (int i = 0; i < runners; ++i)
        {
            b.start("i-" + std::to_string(i), "t", [&](const auto&) { ++done; });
        }
    }
    CHECK(b.run_until([&] { return done == 2 * runners; }));
    for (int i = 0; i < runners; ++i)
    {
        CHECK_EQUAL(1U, callers_of("i-" + std::to_string(i) + " ").size());
    }
    for (const auto& r : b.relays)
    {
        CHECK(r.runners.received_orders.size() > runners / 4);
    }
}

TEST(relay_pool, relays_of_the_runners_zone_are_preferred)
{
    b.add("a", "east");
    b.add("b", "west");
    CHECK(b.connect());
    int answers = 0;
    const auto count = [&](const ports::poll_answer&)
    {
        ++answers;
    };
    b.poll("i-e", count, "east");
    b.poll("i-w", count, "west");
    b.poll("i-n", count, "north");
    CHECK(b.run_until([&] { return answers == 3; }));
    CHECK(callers_of("i-e") == std::set<std::string>{"a"});
    CHECK(callers_of("i-w") == std::set<std::string>{"b"});
    CHECK_EQUAL(1U, callers_of("i-n").size());
}

// Guards against an order without an end. The process of a relay is killed while it waits for a
// runner's answer. The order ends at once as unknown, since it may have been executed, and the
// runner's next order does not use this relay.
TEST(relay_pool, a_broken_connection_ends_its_orders_as_unknown)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.run_until([&] { return !a.runners.held_answers.empty(); }));
    a.instance.reset();
    CHECK(b.run_until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::unknown);
    CHECK(b.log.has("relay_lost relay=a"));
    CHECK(b.log.has("orders_unknown=1"));
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.received_orders.size());
}

// Guards against runners whose leases expire behind a paused relay. The relay's process is paused
// with its connection open, so only the absence of frames shows it. Within a second its orders end
// as unknown and its runners are called in another way, well within the runners' leases.
TEST(relay_pool, an_unresponsive_relay_is_lost_within_a_second)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.paused = true;
    const auto started = b.loop.scheduler().now();
    CHECK(start("i-1").verdict == runner_verdict::unknown);
    CHECK(b.loop.scheduler().now() - started < 1s);
    CHECK(b.log.has("reason=silent"));
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.received_orders.size());
}

// Guards against giving up a relay because of the coordinator's own lag. The coordinator's event
// loop is paused for two seconds while the relay continues. The relay's answer is waiting in the
// socket: it is read, and neither the relay nor the order is given up. The relay in this test
// tolerates iterations of its own loop of any length; on a busy machine it would otherwise rightly
// end the connection itself.
TEST(relay_pool, a_pause_of_the_coordinator_loses_no_relay)
{
    auto& a = b.add("a");
    a.limits.max_pause = 60s;
    a.open(http_fakes::loopback(0));
    CHECK(b.connect());
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    b.loop.run_once(0ms);
    b.loop.run_once(0ms);
    http_fakes::run_for(a.loop, 2500ms);
    CHECK(b.run_until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::done);
    b.run_for(300ms);
    const auto longest = "longest iteration " + std::to_string(b.max_iteration.count()) + " us\n";
    CHECK_TEXT(!b.log.has("relay_lost"), (longest + b.log.text() + a.log.text()).c_str());
}

// The runner never answers although the relay works. The order ends as unknown by its own timeout,
// and the relay stays connected.
TEST(relay_pool, an_order_without_an_answer_times_out)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    CHECK(start("i-1").verdict == runner_verdict::unknown);
    CHECK(!b.log.has("relay_lost"));
    // A late answer is dropped.
    a.runners.held_answers.back()();
    b.run_for(100ms);
}

// Guards against a lease that expires behind a broken link. A relay reaches the coordinator but not
// one of its runners. The runner's next order goes through another relay, so that its lease is
// renewed in time; the other runners keep their relay.
TEST(relay_pool, a_runner_that_its_relay_does_not_reach_is_called_by_another)
{
    constexpr int runners = 20;
    b.add("a");
    b.add("b");
    CHECK(b.connect());
    auto& cut = b.relays.front();
    cut.runners.unreachable = true;
    int unknown = 0;
    int done = 0;
    const auto start_all = [&]
    {
        for (int i = 0; i < runners; ++i)
        {
            b.start("i-" + std::to_string(i),
                "t",
                [&](const ports::runner_answer& it)
                { ++(it.verdict == runner_verdict::done ? done : unknown); });
        }
    };
    start_all();
    CHECK(b.run_until([&] { return done + unknown == runners; }));
    CHECK(unknown > 0);
    CHECK(done > 0);
    unknown = 0;
    done = 0;
    start_all();
    CHECK(b.run_until([&] { return done == runners; }));
    CHECK_EQUAL(0, unknown);
}

// A lost relay reconnects and gets its runners back; the other runners keep their relays.
TEST(relay_pool, a_lost_relay_comes_back_and_only_its_runners_move)
{
    constexpr int runners = 40;
    auto& a = b.add("a");
    b.add("b");
    CHECK(b.connect());
    const auto start_all = [&]
    {
        int done = 0;
        for (int i = 0; i < runners; ++i)
        {
            b.start("i-" + std::to_string(i), "t", [&](const auto&) { ++done; });
        }
        CHECK(b.run_until([&] { return done == runners; }));
    };
    start_all();
    const auto before = a.runners.received_orders;
    a.instance.reset();
    CHECK(b.run_until([&] { return b.log.has("relay_lost relay=a"); }));
    start_all();
    CHECK_EQUAL(before.size(), a.runners.received_orders.size());
    a.open(http_fakes::loopback(a.port));
    CHECK(b.run_until([&] { return b.log.has("relay_back relay=a"); }));
    a.runners.received_orders.clear();
    start_all();
    const std::set<std::string> first(before.begin(), before.end());
    const std::set<std::string> then(
        a.runners.received_orders.begin(), a.runners.received_orders.end());
    for (const auto& it : then)
    {
        CHECK(first.contains(it));
    }
    CHECK(b.local.received_orders.empty());
}

// A relay that shuts down announces it: it receives no new orders, and its orders in flight are
// answered.
TEST(relay_pool, a_leaving_relay_answers_its_orders_in_flight)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.run_until([&] { return !a.runners.held_answers.empty(); }));
    a.instance->leave();
    CHECK(b.run_until([&] { return b.log.has("relay_leaving"); }));
    CHECK(start("i-2").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.received_orders.size());
    a.runners.held_answers.back()();
    CHECK(b.run_until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::done);
}

// Guards against dropping working relays. The records of all relays expire together while the store
// is unreachable, but the relays themselves still work.
TEST(relay_pool, a_relay_without_a_record_is_used_while_it_lives)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    b.instance->set_relays({});
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK(b.local.received_orders.empty());
    a.instance.reset();
    CHECK(b.run_until([&] { return b.log.has("relay_lost relay=a"); }));
}

TEST(relay_pool, a_relay_that_refuses_does_not_delay_orders)
{
    auto& a = b.add("a");
    const auto all = b.endpoints();
    a.instance.reset();
    b.instance->begin(1);
    b.instance->set_relays(all);
    bool polled = false;
    b.poll("i-1", [&](const ports::poll_answer&) { polled = true; });
    CHECK(b.run_until([&] { return polled; }));
    CHECK_EQUAL(1U, b.local.received_orders.size());
}

// The relay's process is paused with orders in its buffers and resumes three seconds later. The
// orders are dropped unread.
TEST(relay_pool, orders_older_than_a_pause_are_dropped)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.paused = true;
    CHECK(start("i-1").verdict == runner_verdict::unknown);
    b.run_for(1500ms);
    a.paused = false;
    CHECK(b.run_until([&] { return b.connected() == 2; }));
    CHECK(a.log.has("standstill"));
    for (const auto& it : a.runners.received_orders)
    {
        CHECK(!it.starts_with("start"));
    }
}

// As above with a suspended machine, which a steady clock does not show.
TEST(relay_pool, orders_older_than_a_suspension_are_dropped)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    b.loop.run_once(0ms);
    b.loop.run_once(0ms);
    a.suspended_for = 3s;
    CHECK(b.run_until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::unknown);
    CHECK(a.log.has("standstill"));
    for (const auto& it : a.runners.received_orders)
    {
        CHECK(!it.starts_with("start"));
    }
}

// A previous coordinator that has not noticed the end of its term sends orders through the same
// relay as its successor.
TEST(relay_pool, orders_of_a_previous_coordinator_are_not_executed)
{
    auto& a = b.add("a");
    CHECK(b.connect(9));
    CHECK(start("i-1", 9).verdict == runner_verdict::done);
    const auto orders_before = a.runners.received_orders.size();
    b.instance->end();
    b.run_for(50ms);
    const auto local_before = b.local.received_orders.size();
    std::optional<ports::runner_answer> got;
    b.instance->begin(8);
    b.instance->set_relays(b.endpoints());
    b.poll("first", [](const ports::poll_answer&) {});
    b.start(
        "i-1", "t", [&](const ports::runner_answer& it) { got = it; }, 10);
    CHECK(b.run_until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::unknown);
    CHECK_EQUAL(orders_before, a.runners.received_orders.size());
    CHECK_EQUAL(local_before, b.local.received_orders.size());
    CHECK(a.log.has("a former owner's token 8"));
}

// Guards against closing the connection of the present coordinator: the orders to a runner that
// started again have a higher token than those to the others.
TEST(relay_pool, orders_of_one_term_may_have_several_tokens)
{
    auto& a = b.add("a");
    CHECK(b.connect(5));
    for (const std::int64_t token : {5, 9, 5})
    {
        CHECK(start("i-1", token).verdict == runner_verdict::done);
    }
    CHECK_EQUAL(4U, a.runners.received_orders.size()); // with the poll of connect()
    CHECK_EQUAL(0U, b.local.received_orders.size());
}

// Guards against orders without a lease. The coordinator's lease ends between a decision and the
// end of the iteration of the event loop: the order is not sent.
TEST(relay_pool, nothing_is_sent_without_the_coordinators_lease)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    const auto orders_before = a.runners.received_orders.size();
    b.has_lease = false;
    CHECK(start("i-1").verdict == runner_verdict::not_sent);
    CHECK_EQUAL(orders_before, a.runners.received_orders.size());
    CHECK(b.local.received_orders.empty());
}

TEST(relay_pool, the_end_of_a_term_ends_its_orders)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.run_until([&] { return !a.runners.held_answers.empty(); }));
    b.instance->end();
    CHECK(b.run_until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::unknown);
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.received_orders.size());
}

// Guards against a stale metric. A term ends while a relay has an order. Without an update, the
// gauge of orders in flight would stay at one for as long as this node is not the coordinator.
TEST(relay_pool, after_a_term_no_order_is_reported_in_flight)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.run_until([&] { return b.log.gauges["camphorhitch_relayed_orders"] > 0; }));
    b.instance->end();
    CHECK(b.run_until([&] { return got.has_value(); }));
    b.run_for(100ms);
    DOUBLES_EQUAL(0, b.log.gauges["camphorhitch_relayed_orders"], 0);
}

// Orders that exceed the size of one frame are sent in several frames.
TEST(relay_pool, a_large_plan_is_split_into_frames)
{
    constexpr int orders = 1500;
    const std::string payload(4000, 'x');
    auto& a = b.add("a");
    CHECK(b.connect());
    int done = 0;
    for (int i = 0; i < orders; ++i)
    {
        b.port.start({"i-1", "10.0.0.1:80", "z"},
            {"t", 1, payload, 1000, 1, "", ""},
            [&](const ports::runner_answer& it)
            { done += it.verdict == runner_verdict::done ? 1 : 0; });
    }
    CHECK(b.run_until([&] { return done == orders; }));
    CHECK(!b.log.has("relay_lost"));
    CHECK(!a.runners.received_orders.empty());
}

// A relay that does not read fills the bounded send buffer. The relay is lost, and the event loop
// never blocks.
TEST(relay_pool, a_relay_that_does_not_read_is_lost)
{
    constexpr int orders = 6000;
    const std::string payload(4000, 'x');
    auto& a = b.add("a");
    CHECK(b.connect());
    a.paused = true;
    int unknown = 0;
    int not_sent = 0;
    for (int i = 0; i < orders; ++i)
    {
        b.port.start({"i-1", "10.0.0.1:80", "z"},
            {"t", 1, payload, 1000, 1, "", ""},
            [&](const ports::runner_answer& it)
            {
                unknown += it.verdict == runner_verdict::unknown ? 1 : 0;
                not_sent += it.verdict == runner_verdict::not_sent ? 1 : 0;
            });
    }
    CHECK(b.run_until([&] { return unknown + not_sent == orders; }));
    CHECK(b.log.has("reason=the other side does not read"));
    CHECK(unknown > 0);
    CHECK(not_sent > 0);
}

// Guards against orders of a previous term. A term ends while its first orders wait for relays to
// connect. The next term of the same node starts seconds later and must not send the orders of the
// previous term.
TEST(relay_pool, orders_that_waited_for_relays_end_with_their_term)
{
    auto& a = b.add("a");
    b.instance->begin(1);
    b.instance->set_relays(b.endpoints());
    std::optional<ports::runner_answer> got;
    b.poll("first", [](const ports::poll_answer&) {});
    b.start(
        "i-1", "t", [&](const ports::runner_answer& it) { got = it; }, 1);
    b.loop.run_once(0ms);
    b.instance->end();
    b.run_for(500ms);
    b.instance->begin(1);
    bool polled = false;
    b.poll("second", [&](const ports::poll_answer&) { polled = true; });
    CHECK(b.run_until([&] { return polled; }));
    b.run_for(500ms);
    const auto is_start = [](const std::string& it)
    {
        return it.starts_with("start");
    };
    CHECK_EQUAL(
        0, std::count_if(b.local.received_orders.begin(), b.local.received_orders.end(), is_start));
    CHECK_EQUAL(0,
        std::count_if(
            a.runners.received_orders.begin(), a.runners.received_orders.end(), is_start));
    CHECK(got.has_value() && got->verdict == runner_verdict::not_sent);
}

// Guards against lost leases. A new coordinator renews leases that are close to their end while its
// relays are not connected yet; or a relay is late, and the lease is renewed in addition to the
// poll in flight. Neither call waits for a relay.
TEST(relay_pool, a_poll_that_does_not_wait_is_made_locally_at_once)
{
    auto& a = b.add("a");
    b.instance->begin(1);
    b.instance->set_relays(b.endpoints());
    bool answered = false;
    b.port.poll({"first", "10.0.0.1:80", ""},
        {1000, 1, 0, core::millis{0}},
        [&](const ports::poll_answer&) { answered = true; });
    b.port.poll({"second", "10.0.0.1:80", ""},
        {1000, 1, 0, core::millis{0}},
        [](const ports::poll_answer&) {});
    CHECK_EQUAL(2, b.local.received_orders.size());
    CHECK(b.run_until([&] { return answered; }));
    CHECK_EQUAL(0, a.runners.received_orders.size());
}

// Guards against a renewal that takes the same slow path as the poll. A relay of the coordinator is
// late, and the lease of a runner is renewed in addition to the poll in flight.
TEST(relay_pool, a_renewal_during_an_overdue_poll_uses_no_relay)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.received_orders.clear();
    b.local.received_orders.clear();
    ports::poll_order order{1000, 1, 0, core::millis{0}};
    order.direct = true;
    bool answered = false;
    b.port.poll(
        {"i-1", "10.0.0.1:80", "z"}, order, [&](const ports::poll_answer&) { answered = true; });
    CHECK(b.run_until([&] { return answered; }));
    CHECK_EQUAL(1U, b.local.received_orders.size());
    CHECK(a.runners.received_orders.empty());
}

// Guards against a coordinator that makes all calls itself. A new coordinator polls thousands of
// runners for the first time. If it made all calls, it would read no answer before its timeout, all
// runners would seem unresponsive, its own lease would be renewed too late, and the next
// coordinator would repeat the failure.
TEST(relay_pool, first_polls_of_thousands_of_runners_do_not_overload_the_coordinator)
{
    constexpr std::size_t runners = 4000;
    pool_settings s;
    s.max_local_calls = 100;
    pool_fixture large(s);
    auto& a = large.add("a");
    auto& c = large.add("c");
    large.local.answers = false;
    large.instance->begin(1);
    large.instance->set_relays(large.endpoints());
    std::size_t answered = 0;
    for (std::size_t i = 0; i < runners; ++i)
    {
        large.port.poll({"i-" + std::to_string(i), "10.0.0.1:80", "z"},
            {1000, 1, 0, core::millis{0}},
            [&](const ports::poll_answer&) { ++answered; });
    }
    CHECK(large.local.received_orders.size() <= s.max_local_calls + s.min_runners);
    CHECK(large.run_until([&] { return answered >= runners - s.max_local_calls - s.min_runners; }));
    CHECK(a.runners.received_orders.size() > runners / 4);
    CHECK(c.runners.received_orders.size() > runners / 4);
}

// Guards against reachable runners that wait behind unreachable ones. A rack has no power when a
// term starts, and the calls to its runners hang until their timeout.
TEST(relay_pool, unreachable_runners_do_not_delay_local_calls)
{
    pool_settings s;
    s.max_local_calls = 10;
    pool_fixture dark(s);
    dark.local.answers = false;
    dark.instance->begin(1);
    dark.instance->set_relays({});
    for (int i = 0; i < 10; ++i)
    {
        dark.poll("gone-" + std::to_string(i), [](const ports::poll_answer&) {});
    }
    dark.run_iteration();
    dark.local.answers = true;
    bool answered = false;
    dark.poll("well", [&](const ports::poll_answer&) { answered = true; });
    const auto started = dark.loop.scheduler().now();
    CHECK(dark.run_until([&] { return answered; }));
    CHECK(dark.loop.scheduler().now() - started < 2 * s.slow_call_threshold + dark.max_iteration);
}

// A queued local call belongs to a term that has ended meanwhile.
TEST(relay_pool, local_calls_that_waited_end_with_their_term)
{
    pool_settings s;
    s.max_local_calls = 1;
    pool_fixture one(s);
    one.local.answers = false;
    one.instance->begin(1);
    one.instance->set_relays({});
    std::optional<runner_verdict> got;
    one.poll("i-1", [](const ports::poll_answer&) {});
    one.poll("i-2", [&](const ports::poll_answer& it) { got = it.call.verdict; });
    one.run_iteration();
    CHECK(!got.has_value());
    one.instance->end();
    CHECK(got == runner_verdict::not_sent);
    CHECK_EQUAL(1U, one.local.received_orders.size());
}
