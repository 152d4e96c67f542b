#include "dispatch/request_flow.hpp"

#include "dispatch/dispatcher.hpp"
#include "flow_answers.hpp"
#include "flow_parts.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::dispatch
{

void answer_once(request_flow& flow, answer_caller it, flow_actions& out)
{
    if (flow.caller_is_waiting)
    {
        flow.caller_is_waiting = false;
        out.emplace_back(std::move(it));
    }
}

core::millis next_retry_delay(request_flow& flow, const sender_settings& settings)
{
    flow.retry_delay = flow.retry_delay.count() == 0
                           ? settings.first_retry_delay
                           : std::min(flow.retry_delay * 2, settings.max_retry_delay);
    return flow.retry_delay;
}

void wait_for_retry(request_flow& flow, flow_phase phase, core::millis wait, core::mono_time now)
{
    flow.phase = phase;
    flow.retry_at = std::min(now + wait, std::max(now, flow.deadline));
}

void end_not_in_flight(request_flow& flow,
    const request_sender& sender,
    answer_caller refused,
    core::mono_time now,
    flow_actions& out)
{
    if (flow.fallback_response)
    {
        answer_once(flow, target_answer(std::move(*flow.fallback_response)), out);
    }
    else if (flow.may_have_run)
    {
        answer_once(flow, unknown_answer(refused), out);
    }
    else if (flow.claim)
    {
        using enum claims::outcome_reason;
        const auto report = claims::give_up(*flow.claim, sender.settings.claims, given_up, now);
        const bool not_run = report.kind == claims::outcome::not_run;
        answer_once(flow, not_run ? std::move(refused) : claim_answer(report), out);
    }
    else
    {
        answer_once(flow, std::move(refused), out);
    }
    end_flow(flow, sender, now, out);
}

void abandon_request(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    if (flow.phase == flow_phase::claiming || flow.phase == flow_phase::claim_retry_wait)
    {
        using enum claims::outcome_reason;
        const auto report = claims::give_up(*flow.claim, sender.settings.claims, not_claimed, now);
        answer_once(flow, claim_answer(report), out);
        end_flow(flow, sender, now, out);
        return;
    }
    const auto late = std::string{core::name_of(refusal_names, refusal::expired)};
    withdraw_permit_request(flow, sender, out);
    end_not_in_flight(
        flow, sender, not_run_answer(late, core::millis{0}, sender.settings), now, out);
}

flow_actions start_flow(
    request_flow& flow, request_sender& sender, caller_request request, core::mono_time now)
{
    flow_actions out;
    flow.request = std::move(request);
    flow.deadline = now + flow.request.time_left;
    flow.sends = flow.request.earlier_attempts;
    if (flow.request.key.empty())
    {
        issue_permit_request(flow, sender, true, now, out);
        return out;
    }
    start_claim(flow, sender, now, out);
    return out;
}

namespace
{

core::mono_time phase_wake(const request_flow& flow)
{
    switch (flow.phase)
    {
    case flow_phase::claim_retry_wait:
    case flow_phase::permit_retry_wait:
        return std::min(flow.retry_at, flow.deadline);
    case flow_phase::claiming:
    case flow_phase::requesting_permit:
        return flow.deadline;
    case flow_phase::sending:
        return flow.caller_is_waiting ? flow.deadline : core::mono_time::max();
    case flow_phase::finishing_claim:
        return flow.retry_at;
    case flow_phase::ended:
        break;
    }
    return core::mono_time::max();
}

/// Returns the permits of interrupted sends once the targets have stopped the requests. The owner
/// that granted the permit stops counting it by itself, but a new owner knows it only from this
/// member's report and waits for its return.
void return_interrupted_sends(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    for (const auto& it : flow.interrupted_sends)
    {
        if (it.until <= now)
        {
            issue_permit_return(flow,
                sender,
                it.permit,
                it.permit_request_id,
                ports::permit_outcome::unused,
                core::micros{0},
                out);
        }
    }
    std::erase_if(flow.interrupted_sends, [&](const auto& it) { return it.until <= now; });
}

void on_phase_timer(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    if (flow.phase == flow_phase::sending)
    {
        answer_timeout_while_sending(flow, sender, out);
    }
    else if (flow.phase == flow_phase::finishing_claim)
    {
        end_flow(flow, sender, now, out);
    }
    else if (now >= flow.deadline)
    {
        abandon_request(flow, sender, now, out);
    }
    else if (flow.phase == flow_phase::claim_retry_wait)
    {
        issue_claim_request(flow, sender, now, out);
    }
    else if (flow.phase == flow_phase::permit_retry_wait)
    {
        issue_permit_request(flow, sender, false, now, out);
    }
}

} // namespace

flow_actions on_timer(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    if (phase_wake(flow) <= now)
    {
        on_phase_timer(flow, sender, now, out);
    }
    return_interrupted_sends(flow, sender, now, out);
    return out;
}

flow_actions on_caller_disconnected(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    flow.caller_is_waiting = false;
    const bool over = flow.phase == flow_phase::finishing_claim || flow.phase == flow_phase::ended;
    if (flow.phase == flow_phase::sending && flow.request.idempotent)
    {
        cancel_sending(flow, sender, now, out);
    }
    else if (flow.phase != flow_phase::sending && !over)
    {
        abandon_request(flow, sender, now, out);
    }
    return out;
}

core::mono_time next_timer(const request_flow& flow)
{
    auto out = phase_wake(flow);
    for (const auto& it : flow.interrupted_sends)
    {
        out = std::min(out, it.until);
    }
    return out;
}

std::vector<ports::held_permit> held_permits(const request_flow& flow, core::mono_time now)
{
    std::vector<ports::held_permit> out;
    const auto add =
        [&](const std::string& host, std::uint64_t permit_request_id, core::mono_time sent_at)
    {
        const auto age = std::chrono::duration_cast<core::millis>(now - sent_at);
        out.push_back({flow.request.pool, host, permit_request_id, age});
    };
    if (flow.phase == flow_phase::sending)
    {
        add(flow.permit.host, flow.permit_request_id, flow.sent_at);
    }
    for (const auto& it : flow.interrupted_sends)
    {
        add(it.permit.host, it.permit_request_id, it.sent_at);
    }
    return out;
}

bool has_ended(const request_flow& flow)
{
    return flow.phase == flow_phase::ended && flow.interrupted_sends.empty();
}

} // namespace camphorhitch::dispatch
