#include "flow_answers.hpp"
#include "flow_parts.hpp"

#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

/// Removes a large answer from the report, because it would fill the message and the holders'
/// memory. The fact that the request ran is kept.
void trim_answer(ports::claim_finish& finish, std::size_t most_bytes)
{
    if (finish.entry.body.size() > most_bytes)
    {
        finish.entry.answer_kept = false;
        finish.entry.fields.clear();
        finish.entry.body.clear();
    }
}

} // namespace

void start_claim(request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out)
{
    auto& it = flow.claim.emplace();
    it.key = flow.request.key;
    it.body_hash = flow.request.body_hash;
    it.executor = sender.member + "/" + sender.incarnation;
    it.number = sender.next_number++;
    it.deadline = flow.deadline;
    issue_claim_request(flow, sender, now, out);
}

void issue_claim_request(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    flow.phase = flow_phase::claiming;
    flow.claim_requested_at = now;
    out.emplace_back(request_claim{claims::make_claim(*flow.claim, sender.epoch)});
}

void end_flow(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    flow.phase = flow_phase::ended;
    if (!flow.claim)
    {
        return;
    }
    auto finish =
        claims::next_finish_message(*flow.claim, sender.settings.claims, sender.epoch, now);
    if (finish)
    {
        trim_answer(*finish, sender.settings.answer_kept_bytes);
        flow.phase = flow_phase::finishing_claim;
        flow.retry_at = now + sender.settings.claims.finish_retry_delay;
        out.emplace_back(finish_claim{std::move(*finish)});
    }
}

flow_actions on_claim(request_flow& flow,
    request_sender& sender,
    ports::peer_status status,
    const ports::claim_reply& reply,
    core::mono_time now)
{
    flow_actions out;
    const bool over = flow.phase == flow_phase::finishing_claim || flow.phase == flow_phase::ended;
    if (!flow.claim || (flow.phase != flow_phase::claiming && !over))
    {
        return out;
    }
    const auto step = claims::on_claim_reply(
        *flow.claim, sender.settings.claims, status, reply, flow.claim_requested_at, now);
    if (over)
    {
        end_flow(flow, sender, now, out);
        return out;
    }
    if (const auto* again = std::get_if<claims::retry_claim>(&step))
    {
        wait_for_retry(flow, flow_phase::claim_retry_wait, again->delay, now);
    }
    else if (const auto* report = std::get_if<claims::outcome_report>(&step))
    {
        answer_once(flow, claim_answer(*report), out);
        end_flow(flow, sender, now, out);
    }
    else
    {
        issue_permit_request(flow, sender, true, now, out);
    }
    return out;
}

flow_actions on_finish_ack(request_flow& flow,
    request_sender& sender,
    ports::peer_status status,
    const ports::ack& ack,
    core::mono_time now)
{
    if (flow.phase == flow_phase::finishing_claim && status == ports::peer_status::ok)
    {
        claims::on_finish_ack(*flow.claim, ack);
        const bool acknowledged =
            !claims::next_finish_message(*flow.claim, sender.settings.claims, sender.epoch, now);
        flow.phase = acknowledged ? flow_phase::ended : flow_phase::finishing_claim;
    }
    return {};
}

} // namespace camphorhitch::dispatch
