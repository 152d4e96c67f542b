#include "claims/executor.hpp"

#include "fixture.hpp"
#include "observations.hpp"

#include "core/invariant.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::claims;
using namespace camphorhitch::claims::testing;
using ports::claim_state;

namespace
{

attempt new_attempt()
{
    attempt a;
    a.key = "k";
    a.executor = "x/1";
    a.number = 1;
    a.deadline = at_ms(3000);
    return a;
}

ports::claim_reply reply_of(claim_verdict verdict, claim_state state = claim_state::claimed)
{
    ports::claim_reply reply;
    reply.verdict = verdict;
    reply.entry.state = state;
    reply.entry.answer_kept = state == claim_state::done;
    return reply;
}

const executor_settings settings;

} // namespace

TEST_GROUP(executor){};

/// "Not run" is reported only where no earlier attempt with the key can have run. An attempt that
/// could not reach the holders has no record of earlier ones, although it was certainly not sent
/// itself.
TEST(executor, outcomes_reported_to_the_caller)
{
    struct row
    {
        peer_status status;
        ports::claim_reply reply;
        const char* reported;
        bool releases;
    };
    const auto known = [](claim_state state)
    {
        return reply_of(claim_verdict::known, state);
    };
    auto not_kept = known(claim_state::done);
    not_kept.entry.answer_kept = false;
    const auto ok = peer_status::ok;
    const row rows[] = {
        {ok, known(claim_state::done), "answered replayed", false},
        {ok, not_kept, "unknown answer-not-kept", false},
        {ok, known(claim_state::claimed), "unknown running", false},
        {ok, known(claim_state::unknown), "unknown may-have-run", false},
        {ok, reply_of(claim_verdict::other_body), "not-run other-body", false},
        {ok, reply_of(claim_verdict::full), "not-run keys-full", false},
        {ok, reply_of(claim_verdict::quarantined), "unknown quarantined", false},
        {ok, reply_of(claim_verdict::not_ready), "unknown not-claimed", true},
        {peer_status::unreachable, {}, "unknown not-claimed", true}, // a grant may have been lost
        {peer_status::refused, {}, "unknown not-claimed", false},
    };
    for (const auto& it : rows)
    {
        auto a = new_attempt();
        const auto step =
            on_claim_reply(a, settings, it.status, it.reply, at_ms(2900), at_ms(2999));
        const auto& reported = std::get<outcome_report>(step);
        const auto text = std::string{core::name_of(outcome_names, reported.kind)} + " " +
                          std::string{core::name_of(outcome_reason_names, reported.reason)};
        STRCMP_EQUAL(it.reported, text.c_str());
        CHECK_FALSE(reported.attempt_sent);
        CHECK_EQUAL_TEXT(
            it.releases, next_finish_message(a, settings, 1, at_ms(3000)).has_value(), it.reported);
    }
}

TEST(executor, asks_again_until_its_deadline)
{
    auto a = new_attempt();
    const auto early =
        on_claim_reply(a, settings, peer_status::unreachable, {}, at_ms(0), at_ms(1000));
    CHECK(std::holds_alternative<retry_claim>(early));
    const auto late =
        on_claim_reply(a, settings, peer_status::unreachable, {}, at_ms(2500), at_ms(2950));
    CHECK(std::holds_alternative<outcome_report>(late));
}

/// The process is paused between the claim and the receipt of the grant, or between the grant and
/// the send. The holders' retention of the claim continues meanwhile, so the age of a grant counts
/// from its request.
TEST(executor, sends_once_and_only_under_a_young_grant)
{
    struct row
    {
        int read_ms;
        int send_ms;
        bool fresh;
        bool may;
    };
    const row rows[] = {
        {100, 1999, true, true},
        {100, 1999, false, false},
        {100, 2000, true, false},
        {2500, 2501, true, false},
    };
    for (const auto& it : rows)
    {
        auto a = new_attempt();
        on_claim_reply(a,
            settings,
            peer_status::ok,
            reply_of(claim_verdict::granted),
            at_ms(0),
            at_ms(it.read_ms));
        CHECK_EQUAL(it.may, may_send(a, settings, it.fresh, at_ms(it.send_ms)));
        if (it.may)
        {
            begin_send(a, settings, it.fresh, at_ms(it.send_ms));
            CHECK_FALSE(may_send(a, settings, it.fresh, at_ms(it.send_ms)));
        }
    }
}

TEST(executor, ends_of_the_call_to_the_target)
{
    struct row
    {
        ports::call_end end;
        outcome kind;
        claim_state remembered;
    };
    const row rows[] = {
        {ports::call_end::answered, outcome::answered, claim_state::done},
        {ports::call_end::interrupted, outcome::unknown, claim_state::unknown},
        {ports::call_end::answer_broken, outcome::unknown, claim_state::unknown},
    };
    for (const auto& it : rows)
    {
        auto a = new_attempt();
        const auto granted = reply_of(claim_verdict::granted);
        on_claim_reply(a, settings, peer_status::ok, granted, at_ms(0), at_ms(1));
        begin_send(a, settings, true, at_ms(2));
        CHECK_FALSE(on_target_result(a, {}, at_ms(3)).has_value());
        begin_send(a, settings, true, at_ms(4));
        ports::http_outcome end;
        end.end = it.end;
        const auto reported = on_target_result(a, end, at_ms(5));
        CHECK(reported->kind == it.kind && reported->attempt_sent);
        const auto finish = next_finish_message(a, settings, 3, at_ms(6));
        CHECK(finish->entry.state == it.remembered && !finish->not_run && finish->epoch == 3);
        on_finish_ack(a, {false});
        CHECK(next_finish_message(a, settings, 3, at_ms(7)).has_value());
        on_finish_ack(a, {true});
        CHECK_FALSE(next_finish_message(a, settings, 3, at_ms(8)).has_value());
    }
}

TEST(executor, giving_up_a_grant)
{
    struct row
    {
        int at_ms;
        outcome kind;
    };
    // After key_memory another attempt may have been granted the key.
    const row rows[] = {{899999, outcome::not_run}, {900000, outcome::unknown}};
    for (const auto& it : rows)
    {
        auto a = new_attempt();
        const auto granted = reply_of(claim_verdict::granted);
        on_claim_reply(a, settings, peer_status::ok, granted, at_ms(0), at_ms(1));
        const auto reported = give_up(a, settings, outcome_reason::given_up, at_ms(it.at_ms));
        CHECK(reported.kind == it.kind);
        CHECK(next_finish_message(a, settings, 1, at_ms(it.at_ms))->not_run);
        on_finish_ack(a, {true});
        on_claim_reply(a, settings, peer_status::ok, granted, at_ms(0), at_ms(it.at_ms));
        CHECK(next_finish_message(a, settings, 1, at_ms(it.at_ms))->not_run);
    }
}

/// The program's own invariants report a second send, a send under an old grant, and "not run" for
/// an attempt that is being sent.
TEST(executor, invariants_can_fail)
{
    std::vector<std::string> violations;
    const auto before =
        core::set_invariant_handler([&](const std::string& text) { violations.push_back(text); });
    auto a = new_attempt();
    begin_send(a, settings, true, at_ms(1));
    give_up(a, settings, outcome_reason::given_up, at_ms(2));
    on_target_result(a, {}, at_ms(3));
    core::set_invariant_handler(before);
    LONGS_EQUAL(3, violations.size());
}

TEST_GROUP(observations){};

/// The checker of the randomised runs gets a record that violates each promise, and a valid record
/// that differs from it as little as possible.
TEST(observations, each_violated_promise_is_reported)
{
    struct row
    {
        const char* what;
        observations observed;
        std::size_t violations;
    };
    const sent_request run{"k", 0, "x#1", at_ms(1000), "answer1"};
    const sent_request again{"k", 0, "y#1", at_ms(5999), "answer2"};
    const sent_request much_later{"k", 0, "y#1", at_ms(6000), "answer2"};
    const auto reported = [](outcome kind, outcome_reason reason, int arrived, int at)
    {
        return reported_outcome{"k", 0, "z#1", at_ms(arrived), at_ms(at), kind, reason, "answer1"};
    };
    const auto not_run = [&](outcome_reason reason, int arrived, int at)
    {
        return reported(outcome::not_run, reason, arrived, at);
    };
    auto own = not_run(outcome_reason::given_up, 500, 900);
    own.attempt = "x#1";
    auto other_body = not_run(outcome_reason::other_body, 2000, 2100);
    other_body.body = 7;
    auto other_key = reported(outcome::answered, outcome_reason::replayed, 2000, 2100);
    other_key.key = "other";
    const row rows[] = {
        {"sent once", {{run}, {}}, 0},
        {"sent twice", {{run, again}, {}}, 1},
        {"sent again after the key memory", {{run, much_later}, {}}, 0},
        {"not run, and sent before", {{run}, {not_run(outcome_reason::given_up, 900, 1001)}}, 1},
        {"not run, and sent afterwards", {{run}, {not_run(outcome_reason::given_up, 900, 999)}}, 0},
        {"not run, and its own attempt sent afterwards", {{run}, {own}}, 1},
        {"full, while another came beside it",
            {{run}, {not_run(outcome_reason::keys_full, 900, 1001)}},
            0},
        {"full, after it ran", {{run}, {not_run(outcome_reason::keys_full, 1001, 1002)}}, 1},
        {"other body, and only the first ran", {{run}, {other_body}}, 0},
        {"other body, and that very body ran",
            {{run}, {not_run(outcome_reason::other_body, 2000, 2100)}},
            1},
        {"its own answer",
            {{run}, {reported(outcome::answered, outcome_reason::replayed, 2000, 2100)}},
            0},
        {"another key's answer", {{run}, {other_key}}, 1},
    };
    for (const auto& it : rows)
    {
        LONGS_EQUAL_TEXT(
            it.violations, find_violations(it.observed, core::millis{5000}).size(), it.what);
    }
}
