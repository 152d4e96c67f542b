#include "flow_parts.hpp"

#include "core/invariant.hpp"
#include "flow_answers.hpp"

#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

std::string executor_of(const request_sender& sender)
{
    return sender.member + "/" + sender.incarnation;
}

ports::claim_finish finish_message(const request_flow& flow, const request_sender& sender)
{
    ports::claim_finish out;
    out.epoch = sender.epoch;
    out.key = flow.request.key;
    out.executor = executor_of(sender);
    out.attempt = flow.attempt;
    out.entry.key = flow.request.key;
    out.entry.body_hash = flow.request.body_hash;
    out.entry.executor = out.executor;
    out.entry.attempt = flow.attempt;
    return out;
}

void on_known(request_flow& flow,
    request_sender& sender,
    const ports::claim_reply& reply,
    core::mono_time now,
    flow_actions& out)
{
    switch (reply.entry.state)
    {
    case ports::claim_state::done:
        flow.phase = flow_phase::ended;
        answer(flow, remembered_answer(reply.entry), out);
        break;
    case ports::claim_state::unknown:
        flow.phase = flow_phase::ended;
        answer(flow, claim_answer(reply, sender.settings), out);
        break;
    default:
        // Another entry host is running it: its result is the answer to this repeat too.
        pause_in(flow, flow_phase::claim_pause, next_pause(flow, sender.settings), now);
        break;
    }
}

void on_claim_reply(request_flow& flow,
    request_sender& sender,
    const ports::claim_reply& reply,
    core::mono_time now,
    flow_actions& out)
{
    flow.maybe_claimed = false;
    flow.last_claim = reply;
    switch (reply.verdict)
    {
    case ports::claim_verdict::granted:
        flow.claimed = true;
        flow.pause = core::millis{0};
        ask_for_permit(flow, sender, true, now, out);
        break;
    case ports::claim_verdict::known:
        on_known(flow, sender, reply, now, out);
        break;
    case ports::claim_verdict::wrong_epoch:
    case ports::claim_verdict::not_ready:
        // The first holder may have noted the claim before it failed to copy it to the second.
        flow.maybe_claimed = true;
        pause_in(flow, flow_phase::claim_pause, next_pause(flow, sender.settings), now);
        break;
    case ports::claim_verdict::other_body:
    case ports::claim_verdict::quarantined:
    case ports::claim_verdict::full:
        flow.phase = flow_phase::ended;
        answer(flow, claim_answer(reply, sender.settings), out);
        break;
    }
}

} // namespace

void ask_for_claim(request_flow& flow, const request_sender& sender, flow_actions& out)
{
    flow.phase = flow_phase::claiming;
    flow.maybe_claimed = true;
    ask_claim it;
    it.message.epoch = sender.epoch;
    it.message.key = flow.request.key;
    it.message.body_hash = flow.request.body_hash;
    it.message.executor = executor_of(sender);
    it.message.attempt = flow.attempt;
    out.emplace_back(std::move(it));
}

void release_claim(request_flow& flow, const request_sender& sender, flow_actions& out)
{
    if (!flow.claimed && !flow.maybe_claimed)
    {
        return;
    }
    core::require(!flow.may_have_run, "claim released after a send", flow.request.key);
    flow.claimed = false;
    flow.maybe_claimed = false;
    auto message = finish_message(flow, sender);
    message.not_run = true;
    out.emplace_back(finish_claim{std::move(message)});
}

void keep_result(request_flow& flow,
    const request_sender& sender,
    ports::claim_state state,
    const ports::http_response& response,
    flow_actions& out)
{
    if (!flow.claimed)
    {
        return;
    }
    flow.claimed = false;
    auto message = finish_message(flow, sender);
    message.entry.state = state;
    message.entry.status = response.status;
    message.entry.answer_kept = state == ports::claim_state::done &&
                                response.body.size() <= sender.settings.answer_kept_bytes;
    if (message.entry.answer_kept)
    {
        message.entry.fields = response.fields;
        message.entry.body = response.body;
    }
    out.emplace_back(finish_claim{std::move(message)});
}

flow_actions on_claim(request_flow& flow,
    request_sender& sender,
    ports::peer_status status,
    const ports::claim_reply& reply,
    core::mono_time now)
{
    flow_actions out;
    const bool granted =
        status == ports::peer_status::ok && reply.verdict == ports::claim_verdict::granted;
    if (flow.phase == flow_phase::ended && granted && flow.attempt != 0 && !flow.may_have_run &&
        flow.sends == flow.request.earlier_attempts)
    {
        // The claim overtook its own release; unreleased, it would keep the key locked.
        flow.maybe_claimed = true;
        release_claim(flow, sender, out);
        return out;
    }
    if (flow.phase != flow_phase::claiming)
    {
        return out;
    }
    if (status != ports::peer_status::ok)
    {
        pause_in(flow, flow_phase::claim_pause, next_pause(flow, sender.settings), now);
        return out;
    }
    on_claim_reply(flow, sender, reply, now, out);
    return out;
}

} // namespace camphorhitch::dispatch
