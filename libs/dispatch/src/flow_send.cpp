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
    return flow.sends < sender.settings.max_attempts && now < flow.deadline &&
           flow.caller_is_waiting;
}

void send_again(request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    flow.avoid.push_back(flow.permit.host);
    issue_permit_request(flow, sender, true, now, out);
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
        flow.fallback_response = outcome.response;
        flow.is_retry = true;
        send_again(flow, sender, now, out);
        return;
    }
    answer_once(flow, target_answer(outcome.response), out);
    end_flow(flow, sender, now, out);
}

void on_not_sent(request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    if (may_send_again(flow, sender, now))
    {
        send_again(flow, sender, now, out);
        return;
    }
    end_not_in_flight(flow,
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
    if (flow.fallback_response)
    {
        return target_answer(*flow.fallback_response);
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
        flow.is_retry = true;
        send_again(flow, sender, now, out);
        return;
    }
    answer_once(flow, lost_answer(flow, sender, now), out);
    end_flow(flow, sender, now, out);
}

/// Returns the permit of the send, and records the send if the target may still be running it.
void end_send(request_flow& flow,
    request_sender& sender,
    ports::permit_outcome outcome,
    core::micros elapsed,
    core::mono_time now,
    flow_actions& out)
{
    issue_permit_return(flow, sender, flow.permit, flow.permit_request_id, outcome, elapsed, out);
    if (outcome == ports::permit_outcome::answered)
    {
        record_run_time(
            sender.measured_times[flow.request.pool][index_of(flow.request.klass)], elapsed);
    }
    if (outcome == ports::permit_outcome::unanswered)
    {
        const auto until = now + sender.settings.max_run_after_disconnect;
        flow.interrupted_sends.push_back(
            {flow.permit_request_id, flow.permit, flow.sent_at, until});
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
        return ports::permit_outcome::unanswered;
    case ports::call_end::not_sent:
    case ports::call_end::answer_broken:
        break;
    }
    return ports::permit_outcome::failed;
}

/// A request may finish after its deadline, so that its result can be stored and the owner learns
/// when the slot is free. But a dead connection drops a request without any error. A call that
/// takes longer than nearly all others may be on such a connection, so an idempotent request is cut
/// while there is time to send it again.
core::millis call_timeout(const request_flow& flow, const request_sender& sender, core::millis left)
{
    const auto& settings = sender.settings;
    const auto whole = left + settings.result_grace;
    const auto known = sender.measured_times.find(flow.request.pool);
    if (!flow.request.idempotent || flow.sends + 1 >= settings.max_attempts ||
        known == sender.measured_times.end())
    {
        return whole;
    }
    const auto& run = known->second[index_of(flow.request.klass)];
    if (run.samples < settings.min_timeout_samples)
    {
        return whole;
    }
    const auto early_timeout =
        std::chrono::duration_cast<core::millis>(long_run_time(run, settings.timeout_deviations));
    const auto enough = std::max(early_timeout, settings.min_early_timeout);
    // With a longer time-out, the second send would hardly have enough time, and a target might run
    // the interrupted request for longer than its slot stays taken.
    return enough * 2 <= left && enough <= settings.max_run_after_disconnect ? enough : whole;
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

void cancel_sending(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    out.emplace_back(cancel_send{});
    end_send(flow, sender, ports::permit_outcome::unanswered, now - flow.sent_at, now, out);
    flow.phase = flow_phase::ended;
    flow.may_have_run = true;
}

void answer_timeout_while_sending(
    request_flow& flow, const request_sender& sender, flow_actions& out)
{
    answer_once(flow,
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
