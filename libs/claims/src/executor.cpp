#include "claims/executor.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::claims
{

namespace
{

void close(attempt& a, core::mono_time now)
{
    a.phase = attempt_phase::closed;
    a.closed_at = now;
}

ports::claim_finish make_finish(const attempt& a)
{
    ports::claim_finish finish;
    finish.key = a.key;
    finish.executor = a.executor;
    finish.attempt = a.number;
    finish.entry.key = a.key;
    finish.entry.body_hash = a.body_hash;
    finish.entry.executor = a.executor;
    finish.entry.attempt = a.number;
    return finish;
}

void release_claim(attempt& a)
{
    core::require(!a.sent, "only an attempt that was never sent may be released", a.key);
    a.pending_finish = make_finish(a);
    a.pending_finish->not_run = true;
}

outcome_report make_report(outcome kind, outcome_reason reason, core::millis retry_after)
{
    outcome_report report;
    report.kind = kind;
    report.reason = reason;
    report.retry_after = retry_after;
    return report;
}

claim_step retry_or_give_up(
    attempt& a, const executor_settings& settings, core::millis delay, core::mono_time now)
{
    if (now + delay < a.deadline)
    {
        return retry_claim{delay};
    }
    return give_up(a, settings, outcome_reason::not_claimed, now);
}

claim_step on_granted(
    attempt& a, const executor_settings& settings, core::mono_time started, core::mono_time now)
{
    a.may_be_claimed = true;
    if (now - started >= settings.permit_ttl)
    {
        return retry_or_give_up(a, settings, core::millis{0}, now);
    }
    a.phase = attempt_phase::granted;
    a.grant_requested_at = started;
    return claim_granted{};
}

outcome_report replay_answer(const ports::claim_entry& entry)
{
    if (!entry.answer_kept)
    {
        return make_report(outcome::unknown, outcome_reason::answer_not_kept, core::millis{0});
    }
    auto report = make_report(outcome::answered, outcome_reason::replayed, core::millis{0});
    report.response.status = entry.status;
    report.response.fields = entry.fields;
    report.response.body = entry.body;
    return report;
}

claim_step on_known(attempt& a,
    const executor_settings& settings,
    const ports::claim_reply& reply,
    core::mono_time now)
{
    if (reply.entry.state == ports::claim_state::released)
    {
        return retry_or_give_up(a, settings, settings.claim_retry_delay, now);
    }
    a.may_be_claimed = false;
    close(a, now);
    switch (reply.entry.state)
    {
    case ports::claim_state::done:
        return replay_answer(reply.entry);
    case ports::claim_state::claimed:
        return make_report(outcome::unknown, outcome_reason::running, reply.retry_after);
    default:
        return make_report(outcome::unknown, outcome_reason::may_have_run, core::millis{0});
    }
}

claim_step close_as_not_run(
    attempt& a, outcome_reason reason, core::millis retry_after, core::mono_time now)
{
    close(a, now);
    return make_report(outcome::not_run, reason, retry_after);
}

claim_step on_reply(attempt& a,
    const executor_settings& settings,
    const ports::claim_reply& reply,
    core::mono_time started,
    core::mono_time now)
{
    switch (reply.verdict)
    {
    case ports::claim_verdict::granted:
        return on_granted(a, settings, started, now);
    case ports::claim_verdict::known:
        return on_known(a, settings, reply, now);
    case ports::claim_verdict::other_body:
        return close_as_not_run(a, outcome_reason::other_body, core::millis{0}, now);
    case ports::claim_verdict::full:
        return close_as_not_run(a, outcome_reason::keys_full, reply.retry_after, now);
    case ports::claim_verdict::quarantined:
    {
        auto report = give_up(a, settings, outcome_reason::quarantined, now);
        report.retry_after = reply.retry_after;
        return report;
    }
    default:
        // The second holder may have stored the claim although it could not be granted.
        a.may_be_claimed = true;
        return retry_or_give_up(
            a, settings, std::max(reply.retry_after, settings.claim_retry_delay), now);
    }
}

} // namespace

ports::claim_request make_claim(const attempt& a, ports::epoch_number epoch)
{
    ports::claim_request request;
    request.epoch = epoch;
    request.key = a.key;
    request.body_hash = a.body_hash;
    request.executor = a.executor;
    request.attempt = a.number;
    return request;
}

claim_step on_claim_reply(attempt& a,
    const executor_settings& settings,
    ports::peer_status status,
    const ports::claim_reply& reply,
    core::mono_time started,
    core::mono_time now)
{
    const bool granted =
        status == ports::peer_status::ok && reply.verdict == ports::claim_verdict::granted;
    if (a.phase == attempt_phase::closed)
    {
        // The attempt was closed and released before this grant arrived, so it will never use the
        // key.
        if (granted && !a.sent)
        {
            release_claim(a);
        }
        return {};
    }
    if (a.phase == attempt_phase::sending)
    {
        return {};
    }
    if (status == ports::peer_status::ok)
    {
        return on_reply(a, settings, reply, started, now);
    }
    a.may_be_claimed = a.may_be_claimed || status == ports::peer_status::unreachable;
    return retry_or_give_up(a, settings, settings.claim_retry_delay, now);
}

bool may_send(const attempt& a, const executor_settings& settings, bool fresh, core::mono_time now)
{
    return a.phase == attempt_phase::granted && !a.sent && fresh &&
           now - a.grant_requested_at < settings.permit_ttl;
}

void begin_send(attempt& a, const executor_settings& settings, bool fresh, core::mono_time now)
{
    core::require(may_send(a, settings, fresh, now),
        "an attempt is sent once, under a grant younger than permit_ttl",
        a.key);
    a.phase = attempt_phase::sending;
    a.sent = true;
}

std::optional<outcome_report> on_target_result(
    attempt& a, const ports::http_outcome& result, core::mono_time now)
{
    core::require(a.phase == attempt_phase::sending,
        "only an attempt that is being sent can get a result",
        a.key);
    if (result.end == ports::call_end::not_sent)
    {
        a.phase = attempt_phase::granted;
        a.sent = false;
        return std::nullopt;
    }
    close(a, now);
    a.pending_finish = make_finish(a);
    if (result.end != ports::call_end::answered)
    {
        a.pending_finish->entry.state = ports::claim_state::unknown;
        auto report = make_report(outcome::unknown, outcome_reason::no_answer, core::millis{0});
        report.attempt_sent = true;
        return report;
    }
    a.pending_finish->entry.state = ports::claim_state::done;
    a.pending_finish->entry.status = result.response.status;
    a.pending_finish->entry.fields = result.response.fields;
    a.pending_finish->entry.body = result.response.body;
    a.pending_finish->entry.answer_kept = true;
    auto report = make_report(outcome::answered, outcome_reason::answered, core::millis{0});
    report.attempt_sent = true;
    report.response = result.response;
    return report;
}

outcome_report give_up(
    attempt& a, const executor_settings& settings, outcome_reason reason, core::mono_time now)
{
    core::require(a.phase == attempt_phase::claiming || a.phase == attempt_phase::granted,
        "an attempt that is being sent can't be reported as not run",
        a.key);
    // The grant proves that the key has not run before, and no other attempt can run while the
    // holders keep the claim.
    const bool key_still_claimed =
        a.phase == attempt_phase::granted && now - a.grant_requested_at < settings.key_memory;
    close(a, now);
    if (a.may_be_claimed)
    {
        release_claim(a);
    }
    return make_report(
        key_still_claimed ? outcome::not_run : outcome::unknown, reason, settings.retry_after);
}

std::optional<ports::claim_finish> next_finish_message(const attempt& a,
    const executor_settings& settings,
    ports::epoch_number epoch,
    core::mono_time now)
{
    if (!a.pending_finish || now - a.closed_at >= settings.finish_timeout)
    {
        return std::nullopt;
    }
    auto finish = *a.pending_finish;
    finish.epoch = epoch;
    return finish;
}

void on_finish_ack(attempt& a, const ports::ack& ack)
{
    if (ack.accepted)
    {
        a.pending_finish.reset();
    }
}

} // namespace camphorhitch::claims
