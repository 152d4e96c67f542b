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

ports::claim_finish finish_of(const attempt& a)
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

void release(attempt& a)
{
    core::require(!a.sent, "only an attempt that was never sent is released", a.key);
    a.end = finish_of(a);
    a.end->not_run = true;
}

outcome_report report(outcome kind, outcome_reason reason, core::millis retry_after)
{
    outcome_report told;
    told.kind = kind;
    told.reason = reason;
    told.retry_after = retry_after;
    return told;
}

claim_step ask_again_or_give_up(
    attempt& a, const executor_settings& settings, core::millis delay, core::mono_time now)
{
    if (now + delay < a.deadline)
    {
        return ask_again{delay};
    }
    return give_up(a, settings, outcome_reason::not_claimed, now);
}

claim_step on_granted(
    attempt& a, const executor_settings& settings, core::mono_time started, core::mono_time now)
{
    a.may_be_claimed = true;
    if (now - started >= settings.permit_ttl)
    {
        return ask_again_or_give_up(a, settings, core::millis{0}, now);
    }
    a.phase = attempt_phase::granted;
    a.granted_from = started;
    return proceed{};
}

outcome_report replay(const ports::claim_entry& entry)
{
    if (!entry.answer_kept)
    {
        return report(outcome::unknown, outcome_reason::answer_not_kept, core::millis{0});
    }
    auto told = report(outcome::answered, outcome_reason::replayed, core::millis{0});
    told.response.status = entry.status;
    told.response.fields = entry.fields;
    told.response.body = entry.body;
    return told;
}

claim_step on_known(attempt& a,
    const executor_settings& settings,
    const ports::claim_reply& reply,
    core::mono_time now)
{
    if (reply.entry.state == ports::claim_state::released)
    {
        return ask_again_or_give_up(a, settings, settings.ask_delay, now);
    }
    a.may_be_claimed = false;
    close(a, now);
    switch (reply.entry.state)
    {
    case ports::claim_state::done:
        return replay(reply.entry);
    case ports::claim_state::claimed:
        return report(outcome::unknown, outcome_reason::running, reply.retry_after);
    default:
        return report(outcome::unknown, outcome_reason::may_have_run, core::millis{0});
    }
}

claim_step refused(attempt& a, outcome_reason reason, core::millis retry_after, core::mono_time now)
{
    close(a, now);
    return report(outcome::not_run, reason, retry_after);
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
        return refused(a, outcome_reason::other_body, core::millis{0}, now);
    case ports::claim_verdict::full:
        return refused(a, outcome_reason::keys_full, reply.retry_after, now);
    case ports::claim_verdict::quarantined:
    {
        auto told = give_up(a, settings, outcome_reason::quarantined, now);
        told.retry_after = reply.retry_after;
        return told;
    }
    default:
        // The second holder may have remembered the claim although it could not be granted.
        a.may_be_claimed = true;
        return ask_again_or_give_up(
            a, settings, std::max(reply.retry_after, settings.ask_delay), now);
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
        // The grant of a claim that was overtaken by its release: nobody would use the key.
        if (granted && !a.sent)
        {
            release(a);
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
    return ask_again_or_give_up(a, settings, settings.ask_delay, now);
}

bool may_send(const attempt& a, const executor_settings& settings, bool fresh, core::mono_time now)
{
    return a.phase == attempt_phase::granted && !a.sent && fresh &&
           now - a.granted_from < settings.permit_ttl;
}

void begin_send(attempt& a, const executor_settings& settings, bool fresh, core::mono_time now)
{
    core::require(may_send(a, settings, fresh, now),
        "an attempt is sent once, under a grant that is young enough",
        a.key);
    a.phase = attempt_phase::sending;
    a.sent = true;
}

std::optional<outcome_report> on_target_end(
    attempt& a, const ports::http_outcome& result, core::mono_time now)
{
    core::require(a.phase == attempt_phase::sending, "only what is being sent can end", a.key);
    if (result.end == ports::call_end::not_sent)
    {
        a.phase = attempt_phase::granted;
        a.sent = false;
        return std::nullopt;
    }
    close(a, now);
    a.end = finish_of(a);
    if (result.end != ports::call_end::answered)
    {
        a.end->entry.state = ports::claim_state::unknown;
        auto told = report(outcome::unknown, outcome_reason::no_answer, core::millis{0});
        told.attempt_sent = true;
        return told;
    }
    a.end->entry.state = ports::claim_state::done;
    a.end->entry.status = result.response.status;
    a.end->entry.fields = result.response.fields;
    a.end->entry.body = result.response.body;
    a.end->entry.answer_kept = true;
    auto told = report(outcome::answered, outcome_reason::answered, core::millis{0});
    told.attempt_sent = true;
    told.response = result.response;
    return told;
}

outcome_report give_up(
    attempt& a, const executor_settings& settings, outcome_reason reason, core::mono_time now)
{
    core::require(a.phase == attempt_phase::asking || a.phase == attempt_phase::granted,
        "an attempt that is being sent can't be called not run",
        a.key);
    // The grant says that nobody ran the key before, and nobody else can while it is remembered.
    const bool still_ours =
        a.phase == attempt_phase::granted && now - a.granted_from < settings.key_memory;
    close(a, now);
    if (a.may_be_claimed)
    {
        release(a);
    }
    return report(still_ours ? outcome::not_run : outcome::unknown, reason, settings.retry_after);
}

std::optional<ports::claim_finish> due_finish(const attempt& a,
    const executor_settings& settings,
    ports::epoch_number epoch,
    core::mono_time now)
{
    if (!a.end || now - a.closed_at >= settings.finish_patience)
    {
        return std::nullopt;
    }
    auto finish = *a.end;
    finish.epoch = epoch;
    return finish;
}

void on_finish_ack(attempt& a, const ports::ack& ack)
{
    if (ack.accepted)
    {
        a.end.reset();
    }
}

} // namespace camphorhitch::claims
