#include "dispatch/request_flow.hpp"

#include "dispatch/dispatcher.hpp"
#include "flow_answers.hpp"
#include "flow_parts.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::dispatch
{

void answer(request_flow& flow, answer_caller it, flow_actions& out)
{
    if (flow.caller_waits)
    {
        flow.caller_waits = false;
        out.emplace_back(std::move(it));
    }
}

core::millis next_pause(request_flow& flow, const sender_settings& settings)
{
    flow.pause = flow.pause.count() == 0 ? settings.first_pause
                                         : std::min(flow.pause * 2, settings.longest_pause);
    return flow.pause;
}

void pause_in(request_flow& flow, flow_phase phase, core::millis wait, core::mono_time now)
{
    flow.phase = phase;
    flow.pause_until = std::min(now + wait, std::max(now, flow.deadline));
}

void end_unsent(request_flow& flow,
    const request_sender& sender,
    answer_caller refused,
    core::mono_time now,
    flow_actions& out)
{
    if (flow.kept)
    {
        answer(flow, target_answer(std::move(*flow.kept)), out);
    }
    else if (flow.may_have_run)
    {
        answer(flow, unknown_answer(refused), out);
    }
    else if (flow.claim)
    {
        using enum claims::outcome_reason;
        const auto told = claims::give_up(*flow.claim, sender.settings.claims, given_up, now);
        const bool not_run = told.kind == claims::outcome::not_run;
        answer(flow, not_run ? std::move(refused) : claim_answer(told), out);
    }
    else
    {
        answer(flow, std::move(refused), out);
    }
    tell_end(flow, sender, now, out);
}

void give_up(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    if (flow.phase == flow_phase::claiming || flow.phase == flow_phase::claim_pause)
    {
        using enum claims::outcome_reason;
        const auto told = claims::give_up(*flow.claim, sender.settings.claims, not_claimed, now);
        answer(flow, claim_answer(told), out);
        tell_end(flow, sender, now, out);
        return;
    }
    const auto late = std::string{core::name_of(refusal_names, refusal::expired)};
    withdraw_ask(flow, sender, out);
    end_unsent(flow, sender, not_run_answer(late, core::millis{0}, sender.settings), now, out);
}

flow_actions begin(
    request_flow& flow, request_sender& sender, caller_request request, core::mono_time now)
{
    flow_actions out;
    flow.request = std::move(request);
    flow.deadline = now + flow.request.time_left;
    flow.sends = flow.request.earlier_attempts;
    if (flow.request.key.empty())
    {
        ask_for_permit(flow, sender, true, now, out);
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
    case flow_phase::claim_pause:
    case flow_phase::ask_pause:
        return std::min(flow.pause_until, flow.deadline);
    case flow_phase::claiming:
    case flow_phase::asking:
        return flow.deadline;
    case flow_phase::sending:
        return flow.caller_waits ? flow.deadline : core::mono_time::max();
    case flow_phase::telling:
        return flow.pause_until;
    case flow_phase::ended:
        break;
    }
    return core::mono_time::max();
}

/// The owner that gave the permit counts it by itself, but a new owner has only our report of it,
/// and waits for its return.
void return_cut_sends(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    for (const auto& it : flow.cuts)
    {
        if (it.until <= now)
        {
            give_permit_back(flow,
                sender,
                it.permit,
                it.ask,
                ports::permit_outcome::unused,
                core::micros{0},
                out);
        }
    }
    std::erase_if(flow.cuts, [&](const auto& it) { return it.until <= now; });
}

void on_phase_timer(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    if (flow.phase == flow_phase::sending)
    {
        time_out_sending(flow, sender, out);
    }
    else if (flow.phase == flow_phase::telling)
    {
        tell_end(flow, sender, now, out);
    }
    else if (now >= flow.deadline)
    {
        give_up(flow, sender, now, out);
    }
    else if (flow.phase == flow_phase::claim_pause)
    {
        ask_for_claim(flow, sender, now, out);
    }
    else if (flow.phase == flow_phase::ask_pause)
    {
        ask_for_permit(flow, sender, false, now, out);
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
    return_cut_sends(flow, sender, now, out);
    return out;
}

flow_actions on_caller_gone(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    flow.caller_waits = false;
    const bool over = flow.phase == flow_phase::telling || flow.phase == flow_phase::ended;
    if (flow.phase == flow_phase::sending && flow.request.idempotent)
    {
        stop_sending(flow, sender, now, out);
    }
    else if (flow.phase != flow_phase::sending && !over)
    {
        give_up(flow, sender, now, out);
    }
    return out;
}

core::mono_time wake_at(const request_flow& flow)
{
    auto out = phase_wake(flow);
    for (const auto& it : flow.cuts)
    {
        out = std::min(out, it.until);
    }
    return out;
}

std::vector<ports::held_permit> held_by(const request_flow& flow, core::mono_time now)
{
    std::vector<ports::held_permit> out;
    const auto add = [&](const std::string& host, std::uint64_t ask, core::mono_time sent_at)
    {
        const auto age = std::chrono::duration_cast<core::millis>(now - sent_at);
        out.push_back({flow.request.pool, host, ask, age});
    };
    if (flow.phase == flow_phase::sending)
    {
        add(flow.permit.host, flow.ask, flow.sent_at);
    }
    for (const auto& it : flow.cuts)
    {
        add(it.permit.host, it.ask, it.sent_at);
    }
    return out;
}

bool has_ended(const request_flow& flow)
{
    return flow.phase == flow_phase::ended && flow.cuts.empty();
}

} // namespace camphorhitch::dispatch
