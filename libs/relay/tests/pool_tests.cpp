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
    bench b;

    /// \return the answer of a start through the pool.
    ports::runner_answer start(const std::string& runner, std::int64_t token = 1)
    {
        std::optional<ports::runner_answer> out;
        b.start(
            runner, "t", [&](const ports::runner_answer& it) { out = it; }, token);
        CHECK(b.until([&] { return out.has_value(); }));
        return out.value_or(ports::runner_answer{});
    }

    /// \return the members whose relay called the runner.
    std::set<std::string> callers_of(const std::string& runner)
    {
        std::set<std::string> out;
        for (const auto& r : b.relays)
        {
            for (const auto& it : r.runners.seen)
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
    b.made->begin();
    b.made->set_relays({});
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.seen.size());
}

// Two small fleets serve well with local calls, which save a hop.
TEST(relay_pool, few_runners_are_called_locally)
{
    pool_settings s;
    s.fewest_runners = 3;
    bench few(s);
    few.add("a");
    few.made->begin();
    few.made->set_relays(few.places());
    int answers = 0;
    const auto count = [&](const ports::poll_answer&)
    {
        ++answers;
    };
    few.poll("i-1", count);
    few.poll("i-2", count);
    CHECK(few.until([&] { return answers == 2; }));
    CHECK_EQUAL(2U, few.local.seen.size());
    few.poll("i-3", count);
    CHECK(few.until([&] { return answers == 3; }));
    CHECK_EQUAL(1U, few.relays.front().runners.seen.size());
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
    CHECK(b.until([&] { return polled.has_value(); }));
    STRCMP_EQUAL("job.0.1.2 of i-1", polled->running[0].task.c_str());
    CHECK_EQUAL(58, polled->ended[0].number);
    int more = 0;
    const auto done = [&](const ports::runner_answer& it)
    {
        more += it.verdict == runner_verdict::done ? 1 : 0;
    };
    b.port.stop({"i-1", "10.0.0.1:80", "z"}, {"t", 1, 1}, done);
    b.port.throttle({"i-1", "10.0.0.1:80", "z"}, {"t", 1, 50, 1}, done);
    CHECK(b.until([&] { return more == 2; }));
    CHECK(b.local.seen.empty());
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
    CHECK(b.until([&] { return done == 2 * runners; }));
    for (int i = 0; i < runners; ++i)
    {
        CHECK_EQUAL(1U, callers_of("i-" + std::to_string(i) + " ").size());
    }
    for (const auto& r : b.relays)
    {
        CHECK(r.runners.seen.size() > runners / 4);
    }
}

TEST(relay_pool, relays_of_the_runners_zone_come_first)
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
    CHECK(b.until([&] { return answers == 3; }));
    CHECK(callers_of("i-e") == std::set<std::string>{"a"});
    CHECK(callers_of("i-w") == std::set<std::string>{"b"});
    CHECK_EQUAL(1U, callers_of("i-n").size());
}

// The process of a relay is killed while it waits for a runner's answer. The coordinator is told at
// once that the order may have been carried out, and the runner's next order takes another way.
TEST(relay_pool, a_broken_connection_ends_its_orders_as_unknown)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.until([&] { return !a.runners.kept.empty(); }));
    a.made.reset();
    CHECK(b.until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::unknown);
    CHECK(b.log.has("relay_lost relay=a"));
    CHECK(b.log.has("orders_unknown=1"));
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.seen.size());
}

// A relay stands still with the connection open: nothing tells but its silence. Within a second its
// orders are unknown and its runners are called by another way, well within the runners' leases.
TEST(relay_pool, a_silent_relay_is_lost_within_a_second)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.frozen = true;
    const auto begun = b.loop.scheduler().now();
    CHECK(start("i-1").verdict == runner_verdict::unknown);
    CHECK(b.loop.scheduler().now() - begun < 1s);
    CHECK(b.log.has("reason=silent"));
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.seen.size());
}

// The coordinator's own loop stands still for two seconds while the relay goes on. Its answer lies
// in the socket: it is read, and neither the relay nor the order is given up. The relay bears turns
// of its own loop of any length here: on a busy machine it would rightly end the connection itself.
TEST(relay_pool, an_own_standstill_is_not_taken_for_silence)
{
    auto& a = b.add("a");
    a.limits.longest_standstill = 60s;
    a.open(http_fakes::loopback(0));
    CHECK(b.connect());
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    b.loop.run_once(0ms);
    b.loop.run_once(0ms);
    http_fakes::run_for(a.loop, 2500ms);
    CHECK(b.until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::done);
    b.run_for(300ms);
    const auto turn = "longest turn " + std::to_string(b.longest_turn.count()) + " us\n";
    CHECK_TEXT(!b.log.has("relay_lost"), (turn + b.log.text() + a.log.text()).c_str());
}

// The runner never answers, and the relay lives: the order ends as unknown by its own time-out, and
// the relay stays.
TEST(relay_pool, an_order_without_an_answer_times_out)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    CHECK(start("i-1").verdict == runner_verdict::unknown);
    CHECK(!b.log.has("relay_lost"));
    // A late answer is dropped.
    a.runners.kept.back()();
    b.run_for(100ms);
}

// A relay hears the coordinator and not one runner: their link is cut. The runner's next order goes
// through another relay, so that its lease is renewed in time; other runners stay where they are.
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
    CHECK(b.until([&] { return done + unknown == runners; }));
    CHECK(unknown > 0);
    CHECK(done > 0);
    unknown = 0;
    done = 0;
    start_all();
    CHECK(b.until([&] { return done == runners; }));
    CHECK_EQUAL(0, unknown);
}

// A relay that was lost is tried again and takes its runners back; others keep theirs.
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
        CHECK(b.until([&] { return done == runners; }));
    };
    start_all();
    const auto before = a.runners.seen;
    a.made.reset();
    CHECK(b.until([&] { return b.log.has("relay_lost relay=a"); }));
    start_all();
    CHECK_EQUAL(before.size(), a.runners.seen.size());
    a.open(http_fakes::loopback(a.port));
    CHECK(b.until([&] { return b.log.has("relay_back relay=a"); }));
    a.runners.seen.clear();
    start_all();
    const std::set<std::string> first(before.begin(), before.end());
    const std::set<std::string> then(a.runners.seen.begin(), a.runners.seen.end());
    for (const auto& it : then)
    {
        CHECK(first.contains(it));
    }
    CHECK(b.local.seen.empty());
}

// A relay that shuts down says so: nothing new goes to it, and what is under way is answered.
TEST(relay_pool, a_leaving_relay_finishes_what_it_has)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.until([&] { return !a.runners.kept.empty(); }));
    a.made->leave();
    CHECK(b.until([&] { return b.log.has("relay_leaving"); }));
    CHECK(start("i-2").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.seen.size());
    a.runners.kept.back()();
    CHECK(b.until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::done);
}

// Records of relays lapse together while the store is away; the relays themselves live.
TEST(relay_pool, a_relay_without_a_record_is_used_while_it_lives)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    b.made->set_relays({});
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK(b.local.seen.empty());
    a.made.reset();
    CHECK(b.until([&] { return b.log.has("relay_lost relay=a"); }));
}

TEST(relay_pool, a_relay_that_refuses_does_not_hold_up_orders)
{
    auto& a = b.add("a");
    const auto all = b.places();
    a.made.reset();
    b.made->begin();
    b.made->set_relays(all);
    bool polled = false;
    b.poll("i-1", [&](const ports::poll_answer&) { polled = true; });
    CHECK(b.until([&] { return polled; }));
    CHECK_EQUAL(1U, b.local.seen.size());
}

// The relay's process is stopped with orders in its buffers and goes on three seconds later. They
// are dropped unread.
TEST(relay_pool, orders_older_than_a_standstill_are_dropped)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.frozen = true;
    CHECK(start("i-1").verdict == runner_verdict::unknown);
    b.run_for(1500ms);
    a.frozen = false;
    CHECK(b.until([&] { return b.connected() == 2; }));
    CHECK(a.log.has("standstill"));
    for (const auto& it : a.runners.seen)
    {
        CHECK(!it.starts_with("start"));
    }
}

// As above with a suspended machine, whose steady clock does not show it.
TEST(relay_pool, orders_older_than_a_suspension_are_dropped)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    b.loop.run_once(0ms);
    b.loop.run_once(0ms);
    a.asleep = 3s;
    CHECK(b.until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::unknown);
    CHECK(a.log.has("standstill"));
    for (const auto& it : a.runners.seen)
    {
        CHECK(!it.starts_with("start"));
    }
}

// A former owner that has not noticed its end sends through the same relay as its successor.
TEST(relay_pool, a_former_owners_orders_are_not_carried_out)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    CHECK(start("i-1", 9).verdict == runner_verdict::done);
    const auto seen = a.runners.seen.size();
    CHECK(start("i-1", 8).verdict == runner_verdict::unknown);
    CHECK_EQUAL(seen, a.runners.seen.size());
    CHECK(a.log.has("a former owner's token 8"));
}

// The coordinator's lease ends between a decision and the end of the turn: the order stays here.
TEST(relay_pool, nothing_is_sent_without_the_own_lease)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    const auto seen = a.runners.seen.size();
    b.owns = false;
    CHECK(start("i-1").verdict == runner_verdict::not_sent);
    CHECK_EQUAL(seen, a.runners.seen.size());
    CHECK(b.local.seen.empty());
}

TEST(relay_pool, the_end_of_a_term_ends_its_orders)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.until([&] { return !a.runners.kept.empty(); }));
    b.made->end();
    CHECK(b.until([&] { return got.has_value(); }));
    CHECK(got->verdict == runner_verdict::unknown);
    CHECK(start("i-1").verdict == runner_verdict::done);
    CHECK_EQUAL(1U, b.local.seen.size());
}

// A term ends while a relay has an order. The measure of such orders would stand at one for as long
// as this node coordinates no more.
TEST(relay_pool, after_a_term_no_order_is_told_to_be_under_way)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.answers = false;
    std::optional<ports::runner_answer> got;
    b.start("i-1", "t", [&](const ports::runner_answer& it) { got = it; });
    CHECK(b.until([&] { return b.log.levels["camphorhitch_relayed_orders"] > 0; }));
    b.made->end();
    CHECK(b.until([&] { return got.has_value(); }));
    b.run_for(100ms);
    DOUBLES_EQUAL(0, b.log.levels["camphorhitch_relayed_orders"], 0);
}

// More than a frame holds goes out in several.
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
    CHECK(b.until([&] { return done == orders; }));
    CHECK(!b.log.has("relay_lost"));
    CHECK(!a.runners.seen.empty());
}

// A relay that does not read fills the bounded buffer: it is lost, and the loop never blocks.
TEST(relay_pool, a_relay_that_does_not_read_is_lost)
{
    constexpr int orders = 6000;
    const std::string payload(4000, 'x');
    auto& a = b.add("a");
    CHECK(b.connect());
    a.frozen = true;
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
    CHECK(b.until([&] { return unknown + not_sent == orders; }));
    CHECK(b.log.has("reason=the other side does not read"));
    CHECK(unknown > 0);
    CHECK(not_sent > 0);
}

// A term ends while its first orders wait for relays to be connected. The next term of the same
// node begins seconds later: what the former term wanted must not leave then.
TEST(relay_pool, orders_that_waited_for_relays_end_with_their_term)
{
    auto& a = b.add("a");
    b.made->begin();
    b.made->set_relays(b.places());
    std::optional<ports::runner_answer> got;
    b.poll("first", [](const ports::poll_answer&) {});
    b.start(
        "i-1", "t", [&](const ports::runner_answer& it) { got = it; }, 1);
    b.loop.run_once(0ms);
    b.made->end();
    b.run_for(500ms);
    b.made->begin();
    bool polled = false;
    b.poll("second", [&](const ports::poll_answer&) { polled = true; });
    CHECK(b.until([&] { return polled; }));
    b.run_for(500ms);
    const auto is_start = [](const std::string& it)
    {
        return it.starts_with("start");
    };
    CHECK_EQUAL(0, std::count_if(b.local.seen.begin(), b.local.seen.end(), is_start));
    CHECK_EQUAL(0, std::count_if(a.runners.seen.begin(), a.runners.seen.end(), is_start));
    CHECK(got.has_value() && got->verdict == runner_verdict::not_sent);
}

// A new coordinator renews leases that end soon, and its relays are not connected yet; or a relay
// is late and the lease is renewed beside its poll. Either call waits for no relay.
TEST(relay_pool, a_poll_that_does_not_wait_is_made_locally_at_once)
{
    auto& a = b.add("a");
    b.made->begin();
    b.made->set_relays(b.places());
    bool answered = false;
    b.port.poll({"first", "10.0.0.1:80", ""},
        {1000, 1, 0, core::millis{0}},
        [&](const ports::poll_answer&) { answered = true; });
    b.port.poll({"second", "10.0.0.1:80", ""},
        {1000, 1, 0, core::millis{0}},
        [](const ports::poll_answer&) {});
    CHECK_EQUAL(2, b.local.seen.size());
    CHECK(b.until([&] { return answered; }));
    CHECK_EQUAL(0, a.runners.seen.size());
}

// An owner's relay is late, and the lease of its runner is renewed beside the poll that it has.
// Guards against a renewal that takes the same late way.
TEST(relay_pool, a_renewal_beside_an_overdue_poll_passes_relays_by)
{
    auto& a = b.add("a");
    CHECK(b.connect());
    a.runners.seen.clear();
    b.local.seen.clear();
    ports::poll_order order{1000, 1, 0, core::millis{0}};
    order.direct = true;
    bool answered = false;
    b.port.poll(
        {"i-1", "10.0.0.1:80", "z"}, order, [&](const ports::poll_answer&) { answered = true; });
    CHECK(b.until([&] { return answered; }));
    CHECK_EQUAL(1U, b.local.seen.size());
    CHECK(a.runners.seen.empty());
}

// A new owner of thousands of runners asks them all for the first time. Guards against an owner
// that makes all calls itself: no answer is read before its time-out, all runners pass for silent,
// the own lease is renewed too late, and the next owner does the same.
TEST(relay_pool, first_looks_at_thousands_of_runners_do_not_flood_their_owner)
{
    constexpr std::size_t runners = 4000;
    pool_settings s;
    s.most_local_calls = 100;
    bench large(s);
    auto& a = large.add("a");
    auto& c = large.add("c");
    large.local.answers = false;
    large.made->begin();
    large.made->set_relays(large.places());
    std::size_t answered = 0;
    for (std::size_t i = 0; i < runners; ++i)
    {
        large.port.poll({"i-" + std::to_string(i), "10.0.0.1:80", "z"},
            {1000, 1, 0, core::millis{0}},
            [&](const ports::poll_answer&) { ++answered; });
    }
    CHECK(large.local.seen.size() <= s.most_local_calls + s.fewest_runners);
    CHECK(large.until([&] { return answered >= runners - s.most_local_calls - s.fewest_runners; }));
    CHECK(a.runners.seen.size() > runners / 4);
    CHECK(c.runners.seen.size() > runners / 4);
}

// A rack is dark when a term begins: the calls to it hang until their time-out. Guards against
// runners that are well and wait behind them.
TEST(relay_pool, runners_that_are_gone_do_not_hold_up_local_calls)
{
    pool_settings s;
    s.most_local_calls = 10;
    bench dark(s);
    dark.local.answers = false;
    dark.made->begin();
    dark.made->set_relays({});
    for (int i = 0; i < 10; ++i)
    {
        dark.poll("gone-" + std::to_string(i), [](const ports::poll_answer&) {});
    }
    dark.turn();
    dark.local.answers = true;
    bool answered = false;
    dark.poll("well", [&](const ports::poll_answer&) { answered = true; });
    const auto begun = dark.loop.scheduler().now();
    CHECK(dark.until([&] { return answered; }));
    CHECK(dark.loop.scheduler().now() - begun < 2 * s.answer_is_near + dark.longest_turn);
}

// One of the calls that waited is for a term that has ended meanwhile.
TEST(relay_pool, local_calls_that_waited_end_with_their_term)
{
    pool_settings s;
    s.most_local_calls = 1;
    bench one(s);
    one.local.answers = false;
    one.made->begin();
    one.made->set_relays({});
    std::optional<runner_verdict> got;
    one.poll("i-1", [](const ports::poll_answer&) {});
    one.poll("i-2", [&](const ports::poll_answer& it) { got = it.call.verdict; });
    one.turn();
    CHECK(!got.has_value());
    one.made->end();
    CHECK(got == runner_verdict::not_sent);
    CHECK_EQUAL(1U, one.local.seen.size());
}
