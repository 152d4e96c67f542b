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
    while (is_granted(f.request(f.ask(), now)))
    {
        ++n;
    }
    return n;
}

} // namespace

TEST_GROUP(take_over){};

// The pool's owner changes while requests are in flight. The new owner knows nothing of them; if it
// granted at once, targets would see more than their slots. It answers "not ready" until all
// members have told what they hold, and counts that until it is returned.
TEST(take_over, nothing_is_granted_before_all_reports_are_in)
{
    pool_fixture f{1, 4};
    begin_take_over(f.d, plan_of({holder("e1"), holder("e2")}, {}), at(0));
    on_held(f.d, "e1", "i1", report(2, {held("h1", 71)}), at(10));
    const auto early = f.request(f.ask(), at(20));
    CHECK(early.front().reply.verdict == ports::permit_verdict::not_ready);
    on_held(
        f.d, "e2", "i1", report(1, {}), at(30)); // a promise for an older epoch is worth nothing
    CHECK_FALSE(is_ready(f.d));
    on_held(f.d, "e2", "i1", report(2, {held("h1", 72)}), at(40));
    CHECK(is_ready(f.d));
    LONGS_EQUAL(2, grants_of(f, at(50)));
    const permit_answer old{{"e2", "i1", 72}, {}};
    CHECK(is_granted(f.give_back(old, permit_outcome::answered, at(60))));
}

// A member was stopped and replaced: first the roster loses it, and only later its process is
// proven to be gone. Its connections went with it. Without the proof counting then, too, the drains
// of its pools would stand still for the longest request (a minute) after each planned replacement.
// Proof about another process of the same member must not count.
TEST(take_over, proof_after_the_take_over_shortens_the_wait_for_a_former_member)
{
    pool_fixture f{2, 2};
    begin_take_over(f.d, plan_of({holder("e1")}, {holder("e2")}), at(0));
    on_held(f.d, "e1", "i1", report(2, {}), at(10));
    on_member_lost(f.d, "e2", "i2", true, at(100));
    CHECK_FALSE(is_quiet(outstanding_on(f.d, "h1", at(20000))));
    on_member_lost(f.d, "e2", "i1", true, at(20000));
    const auto linger = f.d.settings.silent_linger;
    CHECK_FALSE(is_quiet(outstanding_on(f.d, "h1", at(20000) + linger - core::millis{1})));
    CHECK(is_quiet(outstanding_on(f.d, "h1", at(20000) + linger)));
}

// A member of the new roster is paused and never reports. After its bound it can't start anything
// any more, so the pool serves again; what it may have in flight blocks its slots as far as it was
// known, and every drain, until the longest request's time has passed.
TEST(take_over, a_silent_member_holds_drains_until_the_longest_request_has_passed)
{
    pool_fixture f{2, 2};
    begin_take_over(f.d, plan_of({holder("e1"), holder("e2", {held("h1", 9)})}, {}), at(0));
    on_held(f.d, "e1", "i1", report(2, {}), at(10));
    on_tick(f.d, at(3999));
    CHECK_FALSE(is_ready(f.d));
    on_tick(f.d, at(4000));
    CHECK(is_ready(f.d));
    LONGS_EQUAL(3, grants_of(f, at(4000)));
    const auto gone = at(4000) + longest_use(f.d);
    CHECK(outstanding_on(f.d, "h2", gone - core::millis{1}).unknown);
    on_tick(f.d, gone);
    const auto use = outstanding_on(f.d, "h1", gone);
    CHECK_FALSE(use.unknown);
    LONGS_EQUAL(0, use.reserved);
}

// The old owner was killed. It can't be asked, but a refused connection proves that its process is
// gone and sends nothing more; only what the targets may still run of its requests has to end.
TEST(take_over, proof_that_a_member_is_gone_shortens_the_wait)
{
    struct row
    {
        bool known_before; ///< the plan says so already; otherwise it is learned later
    };
    for (const auto& it : {row{true}, row{false}})
    {
        pool_fixture f{1, 2};
        auto gone = holder("e0", {held("h1", 5)});
        gone.gone = it.known_before;
        auto plan = it.known_before ? plan_of({}, {gone}) : plan_of({gone}, {});
        begin_take_over(f.d, plan, at(0));
        if (!it.known_before)
        {
            on_member_lost(f.d, "e0", "i1", true, at(0));
        }
        CHECK(is_ready(f.d));
        LONGS_EQUAL(1, grants_of(f, at(1)));
        const auto until = at(0) + f.d.settings.silent_linger;
        CHECK(outstanding_on(f.d, "h1", until - core::millis{1}).unknown);
        CHECK_FALSE(outstanding_on(f.d, "h1", until).unknown);
    }
}

TEST(take_over, a_sender_with_a_newer_roster_is_told_to_come_back)
{
    pool_fixture f{1, 2};
    auto ahead = f.ask();
    ahead.epoch = 2;
    CHECK(f.request(ahead, at(0)).front().reply.verdict == ports::permit_verdict::not_ready);
    set_epoch(f.d, 2);
    CHECK(is_granted(f.request(ahead, at(1))));
}

// A member owned a pool, was paused, and wakes when another one has owned it in between and given
// permits. Its own count is worth nothing then, although it is the owner again.
TEST(take_over, an_owner_that_missed_another_owner_asks_again)
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
        {2, {{4, alone}}, true}, // epoch 3 is forgotten
    };
    for (const auto& it : rows)
    {
        const model::roster_document roster{5, alone, it.history};
        CHECK_EQUAL(it.asks, needs_take_over(roster, it.last_owned, "e1", "quotes"));
    }
}
