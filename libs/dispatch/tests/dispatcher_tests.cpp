#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::dispatch;
using namespace camphorhitch::dispatch::test;
using ports::permit_outcome;
using ports::permit_verdict;
using ports::request_class;

TEST_GROUP(dispatcher){};

TEST(dispatcher, classes_leave_slots_free_for_quicker_classes)
{
    struct row
    {
        request_class klass;
        int granted; ///< of 20 requests at once, with 2 targets of 8 slots each
    };
    const row rows[] = {
        {request_class::quick, 16}, {request_class::normal, 14}, {request_class::long_running, 10}};
    for (const auto& it : rows)
    {
        pool_fixture f{2, 8};
        int n = 0;
        for (int i = 0; i < 20; ++i)
        {
            n +=
                is_granted(f.request(f.make_request(it.klass, core::millis{30000}), at(0))) ? 1 : 0;
        }
        LONGS_EQUAL(it.granted, n);
    }
}

TEST(dispatcher, a_freed_slot_goes_to_the_quicker_class_first)
{
    pool_fixture f{1, 1};
    const auto first = f.granted(at(0));
    f.request(f.make_request(request_class::long_running, core::millis{30000}), at(1));
    const auto quick = f.make_request();
    f.request(quick, at(2));
    const auto out = f.return_permit(first, permit_outcome::answered, at(10));
    LONGS_EQUAL(1, out.size());
    LONGS_EQUAL(quick.request, out.front().to.request);
    LONGS_EQUAL(8, out.front().reply.waited.count());
}

// A long request waits beside a stream of quick requests that fills every slot. Each freed slot
// would go to the next quick request, and the long one would wait until its deadline. After half of
// its deadline the long request must go first; the next aged request waits until it has ended.
TEST(dispatcher, a_long_request_is_not_starved_by_quick_ones)
{
    pool_fixture f{1, 1};
    auto running = f.granted(at(0));
    const auto slow = f.make_request(request_class::long_running, core::millis{1000});
    f.request(slow, at(0));
    std::int64_t started = -1;
    for (int ms = 10; ms <= 990 && started < 0; ms += 10)
    {
        f.request(f.make_request(), at(ms));
        const auto out = f.return_permit(running, permit_outcome::answered, at(ms));
        LONGS_EQUAL(1, out.size());
        running = out.front();
        started = running.to.request == slow.request ? ms : -1;
    }
    LONGS_EQUAL(500, started);
}

TEST(dispatcher, the_senders_zone_is_preferred_without_overloading_it)
{
    pool_fixture f{2, 8};
    const char* const hosts[] = {"h1", "h1", "h1", "h2", "h1", "h2"};
    for (const auto* host : hosts)
    {
        STRCMP_EQUAL(host, f.granted(at(0)).reply.host.c_str());
    }
}

TEST(dispatcher, an_avoided_target_is_used_only_when_there_is_no_other)
{
    pool_fixture f{2, 1};
    f.granted(at(0)); // h1
    f.granted(at(0)); // h2
    auto request = f.make_request();
    request.avoid = {"h1"};
    f.request(request, at(1));
    const auto other = f.make_request();
    f.request(other, at(2));
    ports::permit_return back{"e1", "i1", 1, 1, "quotes", "h1", permit_outcome::answered, {}};
    const auto first = on_return(f.d, back, at(3));
    LONGS_EQUAL(other.request, first.front().to.request);
    const auto marked = f.set_state("h2", model::host_state::draining, at(4));
    CHECK(marked.empty());
    const auto freed = f.return_permit(first.front(), permit_outcome::answered, at(5));
    LONGS_EQUAL(request.request, freed.front().to.request);
    STRCMP_EQUAL("h1", freed.front().reply.host.c_str());
}

TEST(dispatcher, refusals_name_their_rule_and_a_retry_time)
{
    struct row
    {
        const char* reason;
        int waiting;            ///< requests in the queue
        core::millis time_left; ///< of the refused request
        bool retry;
        model::host_state state;
    };
    using core::millis;
    const row rows[] = {
        {"queue-full", 3, millis{2000}, false, model::host_state::serving},
        {"deadline", 2, millis{30}, false, model::host_state::serving},
        {"deadline", 0, millis{0}, false, model::host_state::serving},
        {"no-target", 0, millis{2000}, false, model::host_state::draining},
        {"retry-budget", 0, millis{2000}, true, model::host_state::serving},
    };
    for (const auto& it : rows)
    {
        auto pool = quotes_pool();
        pool.quick.queue = 3;
        pool_fixture f{1, 1, pool};
        f.return_permit(f.granted(at(0)), permit_outcome::answered, at(20));
        f.granted(at(20));
        for (int i = 0; i < it.waiting; ++i)
        {
            CHECK(f.request(f.make_request(), at(20)).empty());
        }
        f.d.retries.tokens = 0;
        f.set_state("h1", it.state, at(20));
        auto request = f.make_request(request_class::quick, it.time_left);
        request.retry = it.retry;
        const auto out = f.request(request, at(20));
        LONGS_EQUAL(1, out.size());
        CHECK(out.front().reply.verdict == permit_verdict::refused);
        STRCMP_EQUAL(it.reason, out.front().reply.reason.c_str());
        CHECK(out.front().reply.retry_after >= f.d.settings.min_retry_after);
    }
}

TEST(dispatcher, retries_are_bounded_to_a_share_of_first_attempts)
{
    auto pool = quotes_pool();
    pool.retry_ratio = 0.1;
    pool_fixture f{1, 8, pool};
    f.d.retries.tokens = 0;
    f.d.settings.retries_per_second = 0;
    int granted = 0;
    for (int i = 0; i < 100; ++i)
    {
        f.return_permit(f.granted(at(i)), permit_outcome::answered, at(i));
        auto retry = f.make_request();
        retry.retry = true;
        const auto out = f.request(retry, at(i));
        granted += is_granted(out) ? 1 : 0;
        if (is_granted(out))
        {
            f.return_permit(out.front(), permit_outcome::answered, at(i));
        }
    }
    CHECK(granted >= 9 && granted <= 10);
}

TEST(dispatcher, a_request_that_waited_past_its_deadline_is_refused_at_the_deadline)
{
    pool_fixture f{1, 1};
    f.granted(at(0));
    const auto late = f.make_request(request_class::quick, core::millis{100});
    f.request(late, at(0));
    CHECK(next_wakeup(f.d) == at(100));
    const auto out = on_tick(f.d, at(100));
    LONGS_EQUAL(1, out.size());
    STRCMP_EQUAL("expired", out.front().reply.reason.c_str());
}

// A sender gets no answer and repeats its permit request under the same number, while the first one
// was granted, waits, was refused or has ended. A second permit would never be returned, and its
// slot would be lost until the permit expires.
TEST(dispatcher, a_repeated_permit_request_gets_the_same_answer)
{
    pool_fixture f{1, 1};
    const auto granted = f.make_request();
    const auto first = f.request(granted, at(0));
    const auto again = f.request(granted, at(50));
    LONGS_EQUAL(first.front().reply.permit, again.front().reply.permit);
    LONGS_EQUAL(1, f.d.permits.size());

    const auto waits = f.make_request();
    CHECK(f.request(waits, at(60)).empty());
    CHECK(f.request(waits, at(70)).empty());
    LONGS_EQUAL(1, waiting(f.d, request_class::quick));

    auto refused = f.make_request(request_class::quick, core::millis{0});
    const auto no = f.request(refused, at(80));
    STRCMP_EQUAL(
        no.front().reply.reason.c_str(), f.request(refused, at(90))[0].reply.reason.c_str());

    f.return_permit(first.front(), permit_outcome::answered, at(100));
    const auto late = f.request(granted, at(110));
    STRCMP_EQUAL("given-up", late.front().reply.reason.c_str());
}

// A sender withdraws a permit request before it gets the answer. The withdrawal may arrive while
// the request waits, after the permit was granted, or before the request itself. In no case may the
// slot stay taken.
TEST(dispatcher, a_withdrawn_permit_request_takes_no_slot)
{
    enum class order
    {
        while_waiting,
        after_grant,
        before_request
    };
    for (const auto it : {order::while_waiting, order::after_grant, order::before_request})
    {
        pool_fixture f{1, 1};
        const bool blocked = it == order::while_waiting;
        const auto blocker = blocked ? f.granted(at(0)) : permit_answer{};
        const auto request = f.make_request();
        const permit_answer nothing{{"e1", "i1", request.request}, {}};
        if (it == order::before_request)
        {
            f.return_permit(nothing, permit_outcome::unused, at(1));
            STRCMP_EQUAL("given-up", f.request(request, at(2)).front().reply.reason.c_str());
        }
        else
        {
            f.request(request, at(1));
            f.return_permit(nothing, permit_outcome::unused, at(2));
        }
        LONGS_EQUAL(0, waiting(f.d, request_class::quick));
        LONGS_EQUAL(blocked ? 1 : 0, outstanding_on(f.d, "h1", at(3)).permits);
    }
}

TEST(dispatcher, returns_of_unknown_permits_are_ignored)
{
    pool_fixture f{1, 2};
    const auto held = f.granted(at(0));
    auto stranger = held;
    stranger.to.incarnation = "i0";
    f.return_permit(stranger, permit_outcome::answered, at(1));
    LONGS_EQUAL(1, outstanding_on(f.d, "h1", at(1)).permits);
    f.return_permit(held, permit_outcome::answered, at(2));
    f.return_permit(held, permit_outcome::answered, at(3));
    CHECK(is_certainly_idle(outstanding_on(f.d, "h1", at(3))));
}

// The return of a permit is lost. The slot stays taken until the request must have stopped: the
// request's time, the permit's lifetime, the grace for its result, the clock margin, and the time
// that a target may run a request after its connection was lost. Then the slot is free, and a drain
// that waited for it continues.
TEST(dispatcher, a_lost_return_holds_its_slot_until_the_permit_expires)
{
    pool_fixture f{1, 1};
    f.granted(at(0));
    const auto expires_at = at(2000) + use_after_deadline(f.d.settings);
    f.set_state("h1", model::host_state::draining, at(100));
    on_tick(f.d, expires_at - core::millis{1});
    CHECK_FALSE(is_certainly_idle(outstanding_on(f.d, "h1", expires_at - core::millis{1})));
    CHECK(next_wakeup(f.d) == expires_at);
    on_tick(f.d, expires_at);
    CHECK(is_certainly_idle(outstanding_on(f.d, "h1", expires_at)));
    LONGS_EQUAL(1, f.d.counters.expired);
}

// A burst of requests is cut at their deadlines. Each interrupted request keeps its slot for as
// long as nearly all requests of its class run. If it kept the slot for the worst case of seconds,
// a pool of quick requests would grant nothing after the burst. A drain still waits for the worst
// case.
TEST(dispatcher, an_interrupted_request_keeps_its_slot_for_the_usual_run_time)
{
    pool_fixture f{1, 1};
    for (int i = 0; i < 200; ++i)
    {
        f.return_permit(f.granted(at(i)), permit_outcome::answered, at(i), core::millis{20});
    }
    f.return_permit(f.granted(at(200)), permit_outcome::unanswered, at(250));
    CHECK(f.request(f.make_request(), at(251)).empty());
    CHECK(is_granted(on_tick(f.d, at(275))));
    CHECK_FALSE(is_certainly_idle(outstanding_on(f.d, "h1", at(300))));
    LONGS_EQUAL(2, outstanding_on(f.d, "h1", at(300)).permits);
}

// The connection of a call is closed while the target is working on it. The target may go on for a
// while, so the next request must not get the slot at once. Otherwise the target could get one
// request more than it has slots.
TEST(dispatcher, a_lost_call_keeps_its_slot_for_a_while)
{
    pool_fixture f{1, 1};
    f.return_permit(f.granted(at(0)), permit_outcome::unanswered, at(100));
    const auto next = f.make_request(request_class::quick, core::millis{9000});
    CHECK(f.request(next, at(101)).empty());
    const auto free = at(100) + f.d.settings.max_run_after_disconnect;
    CHECK(on_tick(f.d, free - core::millis{1}).empty());
    CHECK(is_granted(on_tick(f.d, free)));
}

// An operator or the live list takes a host out of service while permits for it are outstanding and
// requests wait. From that call on, no permit is granted for the host. The outstanding permits are
// used to their end, and only then the host is idle.
TEST(dispatcher, a_host_out_of_service_gets_no_permit_and_is_idle_when_all_are_returned)
{
    struct row
    {
        model::host_state state;
        ports::live_state live;
    };
    const row rows[] = {{model::host_state::draining, ports::live_state::live},
        {model::host_state::serving, ports::live_state::leaving},
        {model::host_state::serving, ports::live_state::down},
        {model::host_state::held, ports::live_state::live}};
    for (const auto& it : rows)
    {
        pool_fixture f{1, 2};
        const auto first = f.granted(at(0));
        const auto second = f.granted(at(0));
        CHECK(f.request(f.make_request(), at(1)).empty());
        f.live = {true, {{"h1", it.live, 1}}};
        const auto refused = f.set_state("h1", it.state, at(2));
        LONGS_EQUAL(1, refused.size());
        STRCMP_EQUAL("no-target", refused.front().reply.reason.c_str());
        CHECK(f.return_permit(first, permit_outcome::answered, at(3)).empty());
        CHECK_FALSE(is_certainly_idle(outstanding_on(f.d, "h1", at(3))));
        f.return_permit(second, permit_outcome::answered, at(4));
        CHECK(is_certainly_idle(outstanding_on(f.d, "h1", at(4))));
    }
}

// An entry host dies with outstanding permits and waiting requests. Its waiting requests are
// removed, because their permits would not be used. Its requests in flight may still run at the
// targets, so their slots are freed after the time that a target may run a request without its
// connection or, without proof that the process ended, when the permits expire.
TEST(dispatcher, a_lost_member_frees_its_slots_by_proof_or_by_expiry)
{
    for (const bool proven : {true, false})
    {
        pool_fixture f{1, 1};
        f.granted(at(0));
        f.request(f.make_request(), at(1));
        CHECK(on_member_lost(f.d, "e1", "i1", proven, at(10)).empty());
        LONGS_EQUAL(0, waiting(f.d, request_class::quick));
        on_tick(f.d, at(10) + f.d.settings.max_run_after_disconnect);
        LONGS_EQUAL(proven ? 0 : 1, outstanding_on(f.d, "h1", at(5000)).permits);
    }
}

TEST(dispatcher, settings_are_checked_together)
{
    dispatcher_settings wrong;
    wrong.permit_ttl = core::millis{0};
    wrong.aged_share = 2;
    const auto out = dispatcher_builder{}.settings(wrong).first_permit(0).build();
    LONGS_EQUAL(4, std::get<core::findings>(out).size());
}

TEST(dispatcher, idle_connections_of_all_members_fit_beside_the_slots)
{
    model::host_record host;
    struct row
    {
        int connections;
        std::size_t members;
        int idle;
    };
    for (const auto& it : {row{64, 9, 6}, row{64, 6, 9}, row{8, 9, 0}, row{4, 9, 0}})
    {
        host.connections = it.connections;
        LONGS_EQUAL(it.idle, idle_connections(host, it.members));
    }
}
