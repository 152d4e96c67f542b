#include "flow_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::dispatch;
using namespace camphorhitch::dispatch::test;
using ports::call_end;
using ports::claim_state;
using ports::claim_verdict;
using ports::permit_outcome;

namespace
{

void check_answer(const flow_actions& out, int status, caller_outcome outcome)
{
    const auto* it = find<answer_caller>(out);
    CHECK(it != nullptr);
    LONGS_EQUAL(status, it->response.status);
    const auto* field = ports::find_field(it->response.fields, fields::outcome);
    STRCMP_EQUAL(std::string{core::name_of(caller_outcome_names, outcome)}.c_str(), field->c_str());
}

} // namespace

TEST_GROUP(flow){};

TEST(flow, a_keyed_request_is_claimed_first_and_sent_on_a_fresh_connection)
{
    flow_fixture f;
    const auto first = f.start(kind::keyed);
    CHECK(find<request_claim>(first) != nullptr);
    CHECK(find<request_permit>(first) == nullptr);
    CHECK(find<request_permit>(f.claim(claim_verdict::granted, 1)) != nullptr);
    const auto sent = f.grant(10);
    const auto* it = find<send_request>(sent);
    CHECK(it->fresh_connection);
    STRCMP_EQUAL("1990", ports::find_field(it->fields, fields::time_left)->c_str());
    const auto done = f.outcome(call_end::answered, 30, 201);
    check_answer(done, 201, caller_outcome::answered);
    CHECK(find<finish_claim>(done)->message.entry.state == claim_state::done);
    CHECK(find<return_permit>(done)->message.outcome == permit_outcome::answered);
    CHECK_FALSE(has_ended(f.flow));
    CHECK(find<finish_claim>(f.tick(1000)) != nullptr); // unacknowledged, so it is sent again
    on_finish_ack(f.flow, f.sender, ports::peer_status::ok, {true}, at_ms(1001));
    CHECK(has_ended(f.flow));
}

TEST(flow, the_claims_verdict_determines_the_callers_answer)
{
    struct row
    {
        claim_verdict verdict;
        claim_state state;
        int status; ///< 0: the claim is requested again
        caller_outcome outcome;
        bool not_sent; ///< the answer says that this call was not sent
    };
    using enum claim_verdict;
    const row rows[] = {
        {known, claim_state::done, 201, caller_outcome::answered, false},
        {known, claim_state::unknown, 502, caller_outcome::unknown, true},
        {known, claim_state::claimed, 409, caller_outcome::unknown, true},
        {known, claim_state::released, 0, {}, false},
        {other_body, claim_state::done, 422, caller_outcome::not_run, false},
        {full, claim_state::claimed, 503, caller_outcome::not_run, false},
        {quarantined, claim_state::claimed, 503, caller_outcome::unknown, true},
        {wrong_epoch, claim_state::claimed, 0, {}, false},
        {not_ready, claim_state::claimed, 0, {}, false},
    };
    for (const auto& it : rows)
    {
        flow_fixture f;
        f.start(kind::keyed);
        const auto out = f.claim(it.verdict, 1, it.state);
        CHECK(find<request_permit>(out) == nullptr);
        if (it.status == 0)
        {
            CHECK(find<request_claim>(f.tick(500)) != nullptr);
            continue;
        }
        check_answer(out, it.status, it.outcome);
        const auto& said = find<answer_caller>(out)->response.fields;
        CHECK_EQUAL(it.not_sent, ports::find_field(said, fields::attempt) != nullptr);
    }
}

// The holders of a key are unreachable until the deadline. An earlier call may have run, so "not
// run" would be wrong although this call was never sent. A claim that may have been granted is
// released, also when its grant arrives late.
TEST(flow, without_a_claim_the_answer_is_never_not_run)
{
    flow_fixture f;
    f.start(kind::keyed);
    on_claim(f.flow, f.sender, ports::peer_status::unreachable, {}, at_ms(1));
    f.tick(200);
    const auto out = f.tick(2000);
    check_answer(out, 503, caller_outcome::unknown);
    CHECK(find<finish_claim>(out)->message.not_run);
    const auto late = f.claim(claim_verdict::granted, 2100);
    CHECK(find<finish_claim>(late)->message.not_run);
    CHECK(find<send_request>(late) == nullptr);
}

// A process is paused between the grants of its claim and its permit. The key's holders may have
// removed a claim of that age, so the key is claimed again, by the same attempt, before the send.
TEST(flow, a_claim_that_is_too_old_is_requested_again)
{
    flow_fixture f;
    f.sender.settings.claims.permit_ttl = core::millis{500};
    const auto first = find<request_claim>(f.start(kind::keyed))->message.attempt;
    f.claim(claim_verdict::granted, 1);
    const auto out = f.grant(600);
    CHECK(find<send_request>(out) == nullptr);
    CHECK(find<return_permit>(out)->message.outcome == permit_outcome::unused);
    LONGS_EQUAL(first, find<request_claim>(out)->message.attempt);
    f.claim(claim_verdict::granted, 601);
    CHECK(find<send_request>(f.grant(602)) != nullptr);
}

TEST(flow, a_refusal_releases_the_claim_and_the_answer_is_not_run)
{
    struct row
    {
        const char* reason;
        int status;
    };
    const row rows[] = {{"queue-full", 429},
        {"deadline", 429},
        {"retry-budget", 429},
        {"expired", 504},
        {"no-target", 503}};
    for (const auto& it : rows)
    {
        flow_fixture f;
        f.start(kind::keyed);
        f.claim(claim_verdict::granted, 1);
        const auto out = f.refuse(it.reason, 2);
        check_answer(out, it.status, caller_outcome::not_run);
        CHECK(find<finish_claim>(out)->message.not_run);
        const auto& said = find<answer_caller>(out)->response.fields;
        STRCMP_EQUAL("2", ports::find_field(said, fields::retry_after)->c_str());
        STRCMP_EQUAL(it.reason, ports::find_field(said, fields::reason)->c_str());
    }
}

TEST(flow, the_end_of_a_call_determines_whether_it_is_sent_again)
{
    struct row
    {
        kind request;
        call_end end;
        int status;
        bool again;
        bool retry; ///< the second permit request counts against the retry budget
        permit_outcome told;
    };
    using enum call_end;
    const row rows[] = {
        {kind::idempotent, answered, 200, false, false, permit_outcome::answered},
        {kind::idempotent, answered, 404, false, false, permit_outcome::answered},
        {kind::idempotent, answered, 500, true, true, permit_outcome::failed},
        {kind::idempotent, interrupted, 0, true, true, permit_outcome::unanswered},
        {kind::idempotent, answer_broken, 0, true, true, permit_outcome::failed},
        {kind::idempotent, not_sent, 0, true, false, permit_outcome::failed},
        {kind::plain, answered, 500, false, false, permit_outcome::failed},
        {kind::plain, interrupted, 0, false, false, permit_outcome::unanswered},
        {kind::plain, answer_broken, 0, false, false, permit_outcome::failed},
        {kind::plain, not_sent, 0, true, false, permit_outcome::failed},
        {kind::keyed, interrupted, 0, false, false, permit_outcome::unanswered},
        {kind::keyed, not_sent, 0, true, false, permit_outcome::failed},
    };
    for (const auto& it : rows)
    {
        flow_fixture f;
        f.send(it.request);
        const auto out = f.outcome(it.end, 30, it.status);
        CHECK(find<return_permit>(out)->message.outcome == it.told);
        const auto* again = find<request_permit>(out);
        CHECK_EQUAL(it.again, again != nullptr);
        CHECK_EQUAL(it.again, find<answer_caller>(out) == nullptr);
        if (again != nullptr)
        {
            CHECK_EQUAL(it.retry, again->message.retry);
            STRCMP_EQUAL("h1", again->message.avoid.front().c_str());
            const auto sent = f.grant(40, true, "h2");
            STRCMP_EQUAL(
                "1", ports::find_field(find<send_request>(sent)->fields, fields::retry)->c_str());
        }
    }
}

TEST(flow, a_lost_call_is_unknown_to_the_caller_and_in_its_claim)
{
    flow_fixture f;
    f.send(kind::keyed);
    const auto out = f.outcome(call_end::interrupted, 30);
    check_answer(out, 502, caller_outcome::unknown);
    CHECK(find<finish_claim>(out)->message.entry.state == claim_state::unknown);
    CHECK_FALSE(find<finish_claim>(out)->message.not_run);
}

// The first send of an idempotent request is lost or fails, and the retry is refused. The caller
// must get the target's failure, or "unknown", because the refusal of the retry does not prove that
// the first send did not run.
TEST(flow, a_refused_retry_does_not_hide_the_first_send)
{
    flow_fixture lost;
    lost.send(kind::idempotent);
    lost.outcome(call_end::interrupted, 30);
    check_answer(lost.refuse("retry-budget", 40), 502, caller_outcome::unknown);

    flow_fixture failed;
    failed.send(kind::idempotent);
    failed.outcome(call_end::answered, 30, 500);
    check_answer(failed.refuse("retry-budget", 40), 500, caller_outcome::answered);
}

// If each hop sends three times and calls the next hop, a failure in the last hop is tried
// 3 x 3 x 3 times. So a request that carries a number of earlier attempts counts them as its own.
TEST(flow, attempts_of_previous_hops_count)
{
    for (const int earlier : {0, 1, 2, 5})
    {
        flow_fixture f;
        caller_request request;
        request.pool = "quotes";
        request.idempotent = true;
        request.time_left = core::millis{2000};
        request.earlier_attempts = earlier;
        const auto first = start_flow(f.flow, f.sender, request, at_ms(0));
        CHECK_EQUAL(earlier > 0, find<request_permit>(first)->message.retry);
        int sends = 0;
        while (!has_ended(f.flow))
        {
            sends += find<send_request>(f.grant(sends + 1)) != nullptr ? 1 : 0;
            f.outcome(call_end::answered, sends + 1, 503);
        }
        LONGS_EQUAL(std::max(1, f.sender.settings.max_attempts - earlier), sends);
    }
}

// A process is paused between its permit request and the reply, or the reply was delayed, or this
// process has promised a new owner to refuse older permits. The host may be in maintenance by now.
// The permit must be returned unused, and the flow must request another one.
TEST(flow, a_permit_that_may_be_invalid_is_not_used)
{
    struct row
    {
        std::int64_t reply_ms;
        core::millis waited;
        bool fresh;
        bool fenced;
        bool sent;
    };
    using core::millis;
    const row rows[] = {
        {999, millis{0}, true, false, true},
        {1000, millis{0}, true, false, false},
        {1500, millis{1000}, true, false, true}, // granted after a wait in the queue, so not old
        {1500, millis{400}, true, false, false},
        {10, millis{0}, false, false, false},
        {10, millis{0}, true, true, false},
    };
    for (const auto& it : rows)
    {
        flow_fixture f;
        f.start(kind::idempotent);
        if (it.fenced)
        {
            on_held_query(f.sender, {6, "e2", {"quotes"}});
            f.sender.epoch = 6;
        }
        const auto out = f.grant(it.reply_ms, it.fresh, "h1", it.waited);
        CHECK_EQUAL(it.sent, find<send_request>(out) != nullptr);
        if (!it.sent)
        {
            CHECK(find<return_permit>(out)->message.outcome == permit_outcome::unused);
            const auto before = f.flow.permit_request_id;
            const auto again = f.tick(it.reply_ms + 100);
            CHECK(find<request_permit>(again)->message.request != before);
            CHECK(find<send_request>(f.grant(it.reply_ms + 110)) != nullptr);
        }
    }
}

// A permit request gets no answer, but it may have been granted. The repeat under the same number
// gets that same permit, and the age of the permit counts from the first request.
TEST(flow, an_unanswered_permit_request_is_repeated_under_its_number)
{
    flow_fixture f;
    const auto first = find<request_permit>(f.start(kind::idempotent))->message.request;
    on_permit(f.flow, f.sender, first, ports::peer_status::unreachable, {}, true, at_ms(600));
    const auto again = f.tick(700);
    LONGS_EQUAL(first, find<request_permit>(again)->message.request);
    CHECK(find<send_request>(f.grant(1100)) == nullptr);
}

// The deadline passes while the flow waits for a permit or for the target's answer. The caller is
// answered at once. The permit request is withdrawn at the owner. A request in flight is left to
// finish, so that the answer of a keyed request is stored for a repeat and the owner learns when
// the slot is free.
TEST(flow, at_the_deadline_the_caller_is_answered_at_once)
{
    flow_fixture waiting;
    waiting.start(kind::idempotent);
    const auto withdrawn = waiting.tick(2000);
    check_answer(withdrawn, 504, caller_outcome::not_run);
    LONGS_EQUAL(0, find<return_permit>(withdrawn)->message.permit);
    CHECK(find<return_permit>(waiting.grant(2001)) != nullptr);

    for (const auto it : {kind::idempotent, kind::plain, kind::keyed})
    {
        flow_fixture f;
        f.send(it);
        const auto told = f.tick(2000);
        check_answer(told, 504, caller_outcome::unknown);
        CHECK(find<cancel_send>(told) == nullptr);
        CHECK(next_timer(f.flow) == core::mono_time::max());
        const auto late = f.outcome(call_end::answered, 4000, 201);
        CHECK(find<answer_caller>(late) == nullptr);
        CHECK(find<return_permit>(late)->message.outcome == permit_outcome::answered);
        const auto* finish = find<finish_claim>(late);
        CHECK_EQUAL(it == kind::keyed, finish != nullptr);
        CHECK(finish == nullptr || finish->message.entry.state == claim_state::done);
    }
}

// A device between the hosts has dropped the state of an idle connection, so that data written to
// the connection is lost without any error. An idempotent request is cut when it takes longer than
// nearly all others, and sent again while there is time. Other requests are sent on a fresh
// connection and get their whole time.
TEST(flow, an_idempotent_call_that_takes_longer_than_nearly_all_is_cut)
{
    struct row
    {
        kind request;
        int earlier_attempts;
        std::uint64_t samples;
        int timeout_ms;
        double slower = 1; ///< factor on a mean of 400 ms and a deviation of 20 ms
        int linger_ms = 3000;
    };
    const row rows[] = {
        {kind::idempotent, 0, 100, 800},
        {kind::idempotent, 1, 100, 800},
        {kind::idempotent, 2, 100, 6997}, // no attempt follows the last one
        {kind::idempotent, 0, 99, 6997},
        {kind::idempotent, 0, 100, 6997, 2.0},      // no time would be left for another send
        {kind::idempotent, 0, 100, 6997, 1.0, 700}, // the target could run on for longer
        {kind::plain, 0, 100, 6997},
        {kind::keyed, 0, 100, 6997},
    };
    for (const auto& it : rows)
    {
        flow_fixture f;
        f.sender.measured_times["quotes"][index_of(ports::request_class::normal)] = {
            it.slower * 400e3, it.slower * 20e3, it.samples};
        f.sender.settings.max_run_after_disconnect = core::millis{it.linger_ms};
        f.start(it.request);
        f.flow.sends = it.earlier_attempts;
        f.claim(claim_verdict::granted, 1);
        LONGS_EQUAL(it.timeout_ms, find<send_request>(f.grant(3))->total_timeout.count());
    }
}

TEST(flow, a_disconnected_caller_ends_the_flow_unless_it_may_not_be_cut)
{
    struct row
    {
        kind request;
        bool sent;
        bool ends;
        bool cancelled;
    };
    const row rows[] = {
        {kind::idempotent, false, true, false},
        {kind::idempotent, true, true, true},
        {kind::plain, true, false, false},
        {kind::keyed, false, true, false},
        {kind::keyed, true, false, false},
    };
    for (const auto& it : rows)
    {
        flow_fixture f;
        it.sent ? f.send(it.request) : f.start(it.request);
        const auto out = on_caller_disconnected(f.flow, f.sender, at_ms(10));
        CHECK_EQUAL(it.ends,
            f.flow.phase == flow_phase::ended || f.flow.phase == flow_phase::finishing_claim);
        CHECK_EQUAL(it.cancelled, find<cancel_send>(out) != nullptr);
        CHECK(find<answer_caller>(out) == nullptr);
        CHECK_EQUAL(it.sent, !held_permits(f.flow, at_ms(10)).empty());
    }
}

// A call is cut while the target is working on it, and then the pool's owner changes. The new owner
// learns of the request that may still run only from the report, so the request must be reported
// until the target has stopped. Then the permit is returned to the new owner.
TEST(flow, an_interrupted_send_is_reported_until_the_target_has_stopped)
{
    flow_fixture f;
    f.send(kind::idempotent);
    const auto permit_request_id = f.flow.permit_request_id;
    on_caller_disconnected(f.flow, f.sender, at_ms(2000));
    CHECK_FALSE(has_ended(f.flow));
    LONGS_EQUAL(permit_request_id, held_permits(f.flow, at_ms(2100)).front().request);
    const auto stopped = at_ms(2000) + f.sender.settings.max_run_after_disconnect;
    CHECK(next_timer(f.flow) == stopped);
    const auto out = on_timer(f.flow, f.sender, stopped);
    LONGS_EQUAL(permit_request_id, find<return_permit>(out)->message.request);
    CHECK(has_ended(f.flow));
}

TEST(flow, a_new_owner_gets_a_request_with_a_new_number_and_the_old_permit_is_returned)
{
    flow_fixture f;
    const auto first = find<request_permit>(f.start(kind::idempotent))->message.request;
    const auto second = on_owner_changed(f.flow, f.sender, at_ms(5));
    CHECK(find<request_permit>(second)->message.request != first);
    ports::permit_reply late;
    late.verdict = ports::permit_verdict::granted;
    late.permit = 3;
    const auto out =
        on_permit(f.flow, f.sender, first, ports::peer_status::ok, late, true, at_ms(6));
    CHECK(find<send_request>(out) == nullptr);
    LONGS_EQUAL(3, find<return_permit>(out)->message.permit);
}

TEST_GROUP(caller_request){};

TEST(caller_request, fields_of_a_request)
{
    struct row
    {
        const char* method;
        ports::http_fields fields;
        const char* key;
        bool idempotent;
        int time_left_ms;
    };
    const row rows[] = {
        {"GET", {}, "", true, 5000},
        {"POST", {}, "", false, 5000},
        {"POST", {{"Camphorhitch-Idempotent", "true"}}, "", true, 5000},
        {"PUT", {{"camphorhitch-idempotent", "false"}}, "", false, 5000},
        {"PUT", {{"Idempotency-Key", "k"}}, "quotes/k", false, 5000},
        {"GET", {{"Camphorhitch-Class", "quick"}}, "", true, 2000},
        {"GET", {{"Camphorhitch-Deadline-Ms", "700"}}, "", true, 700},
        {"GET",
            {{"Camphorhitch-Deadline-Ms", "700"}, {"Camphorhitch-Time-Left-Ms", "60"}},
            "",
            true,
            60},
        {"GET", {{"Camphorhitch-Deadline-Ms", "90000"}}, "", true, 20000},
    };
    model::pool_config pool;
    pool.name = "quotes";
    for (const auto& it : rows)
    {
        const auto read = read_caller_request({it.method, "/q", "", it.fields, "b"}, pool);
        const auto& out = std::get<caller_request>(read);
        STRCMP_EQUAL(it.key, out.key.c_str());
        CHECK_EQUAL(it.idempotent, out.idempotent);
        LONGS_EQUAL(it.time_left_ms, out.time_left.count());
    }
}

TEST(caller_request, all_wrong_fields_are_reported_together)
{
    const ports::http_fields wrong = {{"Camphorhitch-Class", "quik"},
        {"Camphorhitch-Deadline-Ms", "2s"},
        {"Idempotency-Key", std::string(201, 'k')},
        {"Camphorhitch-Idempotent", "yes"},
        {"Camphorhitch-Retry", "-1"}};
    const auto read = read_caller_request({"POST", "/q", "", wrong, ""}, model::pool_config{});
    const auto& out = std::get<core::findings>(read);
    LONGS_EQUAL(5, out.size());
    STRCMP_EQUAL("quick", out.front().suggestion.c_str());
}

TEST(caller_request, the_body_hash_distinguishes_requests)
{
    const ports::http_request one{"POST", "/a", "", {}, "x"};
    const ports::http_request rows[] = {{"PATCH", "/a", "", {}, "x"},
        {"POST", "/b", "", {}, "x"},
        {"POST", "/a", "q", {}, "x"},
        {"POST", "/a", "", {}, "y"}};
    const auto hash = [](const ports::http_request& it)
    {
        return std::get<caller_request>(read_caller_request(it, model::pool_config{})).body_hash;
    };
    for (const auto& it : rows)
    {
        CHECK(hash(one) != hash(it));
    }
}
