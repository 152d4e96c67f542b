#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::dispatch;
using namespace camphorhitch::dispatch::test;
using ports::permit_outcome;

namespace
{

ports::held_permit held(const char* host, std::uint64_t request)
{
    return {"quotes", host, request, core::millis{100}};
}

ports::held_reply report(ports::epoch_number epoch, std::vector<ports::held_permit> permits)
{
    ports::held_reply out;
    out.epoch = epoch;
    out.permits = std::move(permits);
    return out;
}

take_over_plan plan_of(std::vector<permit_holder> asked, std::vector<permit_holder> former)
{
    return {2, std::move(asked), std::move(former), at(4000)};
}

permit_holder holder(const char* member, std::vector<ports::held_permit> last = {})
{
    return {member, "i1", false, std::move(last)};
}

std::size_t grants_of(pool_fixture& f, core::mono_time now)
{
    std::size_t n = 0;
    while (is_granted(f.request(f.make_request(), now)))
    {
        ++n;
    }
    return n;
}

} // namespace

TEST_GROUP(take_over){};

// The pool's owner changes while requests are in flight. The new owner has no record of them. If it
// granted permits at once, targets would get more requests than they have slots. It must answer
// "not ready" until all members have reported their permits, and count those until they are
// returned.
TEST(take_over, nothing_is_granted_before_all_reports_are_in)
{
    pool_fixture f{1, 4};
    begin_take_over(f.d, plan_of({holder("e1"), holder("e2")}, {}), at(0));
    on_held_report(f.d, "e1", "i1", report(2, {held("h1", 71)}), at(10));
    const auto early = f.request(f.make_request(), at(20));
    CHECK(early.front().reply.verdict == ports::permit_verdict::not_ready);
    on_held_report(
        f.d, "e2", "i1", report(1, {}), at(30)); // a report for an older epoch is ignored
    CHECK_FALSE(is_ready(f.d));
    on_held_report(f.d, "e2", "i1", report(2, {held("h1", 72)}), at(40));
    CHECK(is_ready(f.d));
    LONGS_EQUAL(2, grants_of(f, at(50)));
    const permit_answer old{{"e2", "i1", 72}, {}};
    CHECK(is_granted(f.return_permit(old, permit_outcome::answered, at(60))));
}

// A member is stopped and replaced: first it leaves the roster, and only later its process is
// proven to have ended, and its connections with it. If the proof did not count at that time too,
// the drains of its pools would wait for the longest request (a minute) after each planned
// replacement. A proof for another process of the same member must not count.
TEST(take_over, proof_after_the_take_over_shortens_the_wait_for_a_former_member)
{
    pool_fixture f{2, 2};
    begin_take_over(f.d, plan_of({holder("e1")}, {holder("e2")}), at(0));
    on_held_report(f.d, "e1", "i1", report(2, {}), at(10));
    on_member_lost(f.d, "e2", "i2", true, at(100));
    CHECK_FALSE(is_certainly_idle(outstanding_on(f.d, "h1", at(20000))));
    on_member_lost(f.d, "e2", "i1", true, at(20000));
    const auto keep_slot_while_running = f.d.settings.max_run_after_disconnect;
    CHECK_FALSE(is_certainly_idle(
        outstanding_on(f.d, "h1", at(20000) + keep_slot_while_running - core::millis{1})));
    CHECK(is_certainly_idle(outstanding_on(f.d, "h1", at(20000) + keep_slot_while_running)));
}

// A member of the new roster is paused and never reports. After the report deadline it can't send
// any request under an old permit, so the pool grants permits again. Until the time of the longest
// request has passed, the requests that the member may have in flight take the slots that were last
// reported, and delay every drain.
TEST(take_over, an_unresponsive_member_delays_drains_for_the_longest_request)
{
    pool_fixture f{2, 2};
    begin_take_over(f.d, plan_of({holder("e1"), holder("e2", {held("h1", 9)})}, {}), at(0));
    on_held_report(f.d, "e1", "i1", report(2, {}), at(10));
    on_tick(f.d, at(3999));
    CHECK_FALSE(is_ready(f.d));
    on_tick(f.d, at(4000));
    CHECK(is_ready(f.d));
    LONGS_EQUAL(3, grants_of(f, at(4000)));
    const auto gone = at(4000) + max_use_time(f.d);
    CHECK(outstanding_on(f.d, "h2", gone - core::millis{1}).uncounted);
    on_tick(f.d, gone);
    const auto use = outstanding_on(f.d, "h1", gone);
    CHECK_FALSE(use.uncounted);
    LONGS_EQUAL(0, use.reserved);
}

// The previous owner was killed. It can't be queried, but a refused connection proves that its
// process has ended and sends no more requests. The wait covers only the requests that the targets
// may still be running.
TEST(take_over, proof_that_a_process_ended_shortens_the_wait)
{
    struct row
    {
        bool known_before; ///< the plan contains the proof; otherwise it arrives later
    };
    for (const auto& it : {row{true}, row{false}})
    {
        pool_fixture f{1, 2};
        auto gone = holder("e0", {held("h1", 5)});
        gone.process_ended = it.known_before;
        auto plan = it.known_before ? plan_of({}, {gone}) : plan_of({gone}, {});
        begin_take_over(f.d, plan, at(0));
        if (!it.known_before)
        {
            on_member_lost(f.d, "e0", "i1", true, at(0));
        }
        CHECK(is_ready(f.d));
        LONGS_EQUAL(1, grants_of(f, at(1)));
        const auto until = at(0) + f.d.settings.max_run_after_disconnect;
        CHECK(outstanding_on(f.d, "h1", until - core::millis{1}).uncounted);
        CHECK_FALSE(outstanding_on(f.d, "h1", until).uncounted);
    }
}

TEST(take_over, a_sender_with_a_newer_roster_gets_not_ready)
{
    pool_fixture f{1, 2};
    auto ahead = f.make_request();
    ahead.epoch = 2;
    CHECK(f.request(ahead, at(0)).front().reply.verdict == ports::permit_verdict::not_ready);
    set_epoch(f.d, 2);
    CHECK(is_granted(f.request(ahead, at(1))));
}

// A member owns a pool and is paused. When it resumes, it is the owner again, but another member
// has owned the pool in between and granted permits, so its own count is invalid.
TEST(take_over, an_owner_that_missed_another_owner_takes_over_again)
{
    const std::vector<model::member_record> alone = {{"e1", "i1", "", ""}};
    const std::vector<model::member_record> other = {{"e2", "i1", "", ""}};
    struct row
    {
        ports::epoch_number last_owned;
        std::vector<model::former_roster> history;
        bool asks;
    };
    const row rows[] = {
        {0, {}, true},
        {4, {{4, alone}}, false},
        {3, {{4, alone}, {3, alone}}, false},
        {3, {{4, other}, {3, alone}}, true},
        {2, {{4, alone}}, true}, // epoch 3 is not in the history any more
    };
    for (const auto& it : rows)
    {
        const model::roster_document roster{5, alone, it.history};
        CHECK_EQUAL(it.asks, needs_take_over(roster, it.last_owned, "e1", "quotes"));
    }
}
