#include "flow_parts.hpp"

#include "core/invariant.hpp"
#include "flow_answers.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

bool may_send_again(const request_flow& flow, const request_sender& sender, core::mono_time now)
{
    return flow.sends < sender.settings.most_attempts && now < flow.deadline && flow.caller_waits;
}

void send_again(request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    flow.avoid.push_back(flow.permit.host);
    ask_for_permit(flow, sender, true, now, out);
}

void on_answered(request_flow& flow,
    request_sender& sender,
    const ports::http_outcome& outcome,
    core::mono_time now,
    flow_actions& out)
{
    const bool failed = outcome.response.status >= status_server_error;
    if (failed && flow.request.idempotent && may_send_again(flow, sender, now))
    {
        flow.kept = outcome.response;
        flow.retrying = true;
        send_again(flow, sender, now, out);
        return;
    }
    answer(flow, target_answer(outcome.response), out);
    tell_end(flow, sender, now, out);
}

void on_not_sent(request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    if (may_send_again(flow, sender, now))
    {
        send_again(flow, sender, now, out);
        return;
    }
    end_unsent(flow,
        sender,
        own_answer(status_unavailable,
            caller_outcome::not_run,
            sender.settings.retry_after,
            "target-not-reached",
            "No target could be reached; it was not run."),
        now,
        out);
}

answer_caller lost_answer(
    const request_flow& flow, const request_sender& sender, core::mono_time now)
{
    if (flow.kept)
    {
        return target_answer(*flow.kept);
    }
    return own_answer(now >= flow.deadline ? status_timeout : status_bad_gateway,
        caller_outcome::unknown,
        sender.settings.retry_after,
        "answer-lost",
        "It was sent and may have run; no whole answer came.");
}

void on_lost(request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    flow.may_have_run = true;
    if (flow.request.idempotent && may_send_again(flow, sender, now))
    {
        flow.retrying = true;
        send_again(flow, sender, now, out);
        return;
    }
    answer(flow, lost_answer(flow, sender, now), out);
    tell_end(flow, sender, now, out);
}

/// Returns the permit of the send, and remembers the send if the target may be running it on.
void end_send(request_flow& flow,
    request_sender& sender,
    ports::permit_outcome outcome,
    core::micros elapsed,
    core::mono_time now,
    flow_actions& out)
{
    give_permit_back(flow, sender, flow.permit, flow.ask, outcome, elapsed, out);
    if (outcome == ports::permit_outcome::answered)
    {
        note_run(sender.runs[flow.request.pool][index_of(flow.request.klass)], elapsed);
    }
    if (outcome == ports::permit_outcome::silent)
    {
        const auto until = now + sender.settings.silent_linger;
        flow.cuts.push_back({flow.ask, flow.permit, flow.sent_at, until});
    }
}

ports::permit_outcome outcome_for_owner(const ports::http_outcome& outcome)
{
    switch (outcome.end)
    {
    case ports::call_end::answered:
        return outcome.response.status >= status_server_error ? ports::permit_outcome::failed
                                                              : ports::permit_outcome::answered;
    case ports::call_end::interrupted:
        return ports::permit_outcome::silent;
    case ports::call_end::not_sent:
    case ports::call_end::answer_broken:
        break;
    }
    return ports::permit_outcome::failed;
}

/// A request is left to finish past its deadline: its result may be remembered, and its slot is
/// known to be free. But a connection that went silent swallows a request and never says so. A call
/// that takes longer than nearly all others may be such a one: it is cut while there is time to
/// send again, if the request may run twice.
core::millis call_timeout(const request_flow& flow, const request_sender& sender, core::millis left)
{
    const auto& settings = sender.settings;
    const auto whole = left + settings.result_grace;
    const auto known = sender.runs.find(flow.request.pool);
    if (!flow.request.idempotent || flow.sends + 1 >= settings.most_attempts ||
        known == sender.runs.end())
    {
        return whole;
    }
    const auto& run = known->second[index_of(flow.request.klass)];
    if (run.samples < settings.patience_samples)
    {
        return whole;
    }
    const auto patience =
        std::chrono::duration_cast<core::millis>(long_run(run, settings.patience_deviations));
    const auto enough = std::max(patience, settings.least_patience);
    // Cut later, the second send would hardly have the time that it needs; and a target may run on
    // what was cut for longer than its slot is left alone.
    return enough * 2 <= left && enough <= settings.silent_linger ? enough : whole;
}

} // namespace

void start_send(request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    core::mono_time now,
    flow_actions& out)
{
    const auto left = std::chrono::duration_cast<core::millis>(flow.deadline - now);
    core::require(flow.request.idempotent || !flow.may_have_run,
        "second send of a request that may have run",
        flow.request.key);
    core::require(
        flow.request.key.empty() || flow.claim, "send without its claim", flow.request.key);
    if (flow.claim)
    {
        claims::begin_send(*flow.claim, sender.settings.claims, true, now);
    }
    send_request it;
    it.host = permit.host;
    it.address = permit.address;
    it.fresh_connection = !flow.request.idempotent;
    it.connect_timeout = std::min(sender.settings.connect_timeout, left);
    it.total_timeout = call_timeout(flow, sender, left);
    it.fields.emplace_back(std::string{fields::time_left}, std::to_string(left.count()));
    if (flow.sends > 0)
    {
        it.fields.emplace_back(std::string{fields::retry}, std::to_string(flow.sends));
    }
    flow.phase = flow_phase::sending;
    flow.permit = permit;
    flow.sent_at = now;
    flow.send_until = now + it.total_timeout;
    flow.sends += 1;
    out.emplace_back(std::move(it));
}

void stop_sending(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    out.emplace_back(cancel_send{});
    end_send(flow, sender, ports::permit_outcome::silent, now - flow.sent_at, now, out);
    flow.phase = flow_phase::ended;
    flow.may_have_run = true;
}

void time_out_sending(request_flow& flow, const request_sender& sender, flow_actions& out)
{
    answer(flow,
        own_answer(status_timeout,
            caller_outcome::unknown,
            sender.settings.retry_after,
            "target-timeout",
            "The target did not answer in time; it may have run."),
        out);
}

flow_actions on_outcome(request_flow& flow,
    request_sender& sender,
    const ports::http_outcome& outcome,
    core::mono_time now)
{
    flow_actions out;
    if (flow.phase != flow_phase::sending)
    {
        return out;
    }
    end_send(flow, sender, outcome_for_owner(outcome), outcome.elapsed, now, out);
    if (flow.claim)
    {
        claims::on_target_result(*flow.claim, outcome, now);
    }
    switch (outcome.end)
    {
    case ports::call_end::answered:
        on_answered(flow, sender, outcome, now, out);
        break;
    case ports::call_end::not_sent:
        on_not_sent(flow, sender, now, out);
        break;
    case ports::call_end::interrupted:
    case ports::call_end::answer_broken:
        on_lost(flow, sender, now, out);
        break;
    }
    return out;
}

} // namespace camphorhitch::dispatch
