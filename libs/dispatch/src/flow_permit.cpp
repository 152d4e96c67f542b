#include "flow_parts.hpp"

#include "dispatch/dispatcher.hpp"
#include "flow_answers.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

/// \return whether the permit may be too old to use. The permit was granted at least `waited` after
/// the permit request was first sent, so this bound on its age holds whatever delays the network
/// caused.
bool has_expired(const request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    core::mono_time now)
{
    return now - flow.permit_requested_at - permit.waited >= sender.settings.permit_ttl;
}

bool is_fenced(const request_flow& flow, const request_sender& sender)
{
    const auto it = sender.min_permit_epochs.find(flow.request.pool);
    return it != sender.min_permit_epochs.end() && flow.permit_request_epoch < it->second;
}

void on_refused(request_flow& flow,
    request_sender& sender,
    const ports::permit_reply& reply,
    core::mono_time now,
    flow_actions& out)
{
    if (core::value_of(refusal_names, reply.reason) == refusal::withdrawn)
    {
        issue_permit_request(flow, sender, true, now, out); // the owner has closed this number
        return;
    }
    end_not_in_flight(
        flow, sender, not_run_answer(reply.reason, reply.retry_after, sender.settings), now, out);
}

void on_granted(request_flow& flow,
    request_sender& sender,
    const ports::permit_reply& reply,
    bool fresh,
    core::mono_time now,
    flow_actions& out)
{
    const bool claim_holds =
        !flow.claim || claims::may_send(*flow.claim, sender.settings.claims, fresh, now);
    if (now < flow.deadline && fresh && claim_holds && !is_fenced(flow, sender) &&
        !has_expired(flow, sender, reply, now))
    {
        flow.retry_delay = core::millis{0};
        start_send(flow, sender, reply, now, out);
        return;
    }
    // A process that was paused resumes here with an outdated view. The target may have been handed
    // over to maintenance in the meantime, and a request sent to it would be cut off.
    issue_permit_return(flow,
        sender,
        reply,
        flow.permit_request_id,
        ports::permit_outcome::unused,
        core::micros{0},
        out);
    flow.permit_request_id = 0;
    if (fresh && !claim_holds && now < flow.deadline)
    {
        // The holders may have removed a claim of this age.
        issue_claim_request(flow, sender, now, out);
        return;
    }
    wait_for_retry(
        flow, flow_phase::permit_retry_wait, next_retry_delay(flow, sender.settings), now);
}

} // namespace

void issue_permit_request(
    request_flow& flow, request_sender& sender, bool renew, core::mono_time now, flow_actions& out)
{
    flow.phase = flow_phase::requesting_permit;
    if (renew || flow.permit_request_id == 0)
    {
        flow.permit_request_id = sender.next_number++;
        flow.permit_requested_at = now;
        flow.permit_request_epoch = sender.epoch;
    }
    request_permit it;
    it.message.epoch = flow.permit_request_epoch;
    it.message.member = sender.member;
    it.message.incarnation = sender.incarnation;
    it.message.request = flow.permit_request_id;
    it.message.pool = flow.request.pool;
    it.message.zone = sender.zone;
    it.message.klass = flow.request.klass;
    it.message.time_left = std::chrono::duration_cast<core::millis>(flow.deadline - now);
    it.message.expected_run_time = flow.request.expected;
    it.message.avoid = flow.avoid;
    it.message.retry = flow.is_retry || flow.request.earlier_attempts > 0;
    out.emplace_back(std::move(it));
}

void issue_permit_return(const request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    std::uint64_t permit_request_id,
    ports::permit_outcome outcome,
    core::micros elapsed,
    flow_actions& out)
{
    return_permit it;
    it.message.member = sender.member;
    it.message.incarnation = sender.incarnation;
    it.message.request = permit_request_id;
    it.message.permit = permit.permit;
    it.message.pool = flow.request.pool;
    it.message.host = permit.host;
    it.message.outcome = outcome;
    it.message.elapsed = elapsed;
    out.emplace_back(std::move(it));
}

void withdraw_permit_request(
    const request_flow& flow, const request_sender& sender, flow_actions& out)
{
    if (flow.permit_request_id != 0)
    {
        issue_permit_return(flow,
            sender,
            {},
            flow.permit_request_id,
            ports::permit_outcome::unused,
            core::micros{0},
            out);
    }
}

void on_held_query(request_sender& sender, const ports::held_query& query)
{
    for (const auto& it : query.pools)
    {
        auto& below = sender.min_permit_epochs[it];
        below = std::max(below, query.epoch);
    }
}

flow_actions on_permit(request_flow& flow,
    request_sender& sender,
    std::uint64_t permit_request_id,
    ports::peer_status status,
    const ports::permit_reply& reply,
    bool fresh,
    core::mono_time now)
{
    flow_actions out;
    const bool ok = status == ports::peer_status::ok;
    if (flow.phase != flow_phase::requesting_permit || permit_request_id != flow.permit_request_id)
    {
        const bool in_use =
            flow.phase == flow_phase::sending && permit_request_id == flow.permit_request_id;
        if (ok && reply.verdict == ports::permit_verdict::granted && !in_use)
        {
            issue_permit_return(flow,
                sender,
                reply,
                permit_request_id,
                ports::permit_outcome::unused,
                core::micros{0},
                out);
        }
        return out;
    }
    if (!ok)
    {
        // If the owner was unreachable, it may have granted the permit. A request under the same
        // number gets that same permit.
        flow.permit_request_id = status == ports::peer_status::refused ? 0 : flow.permit_request_id;
        wait_for_retry(
            flow, flow_phase::permit_retry_wait, next_retry_delay(flow, sender.settings), now);
        return out;
    }
    switch (reply.verdict)
    {
    case ports::permit_verdict::granted:
        on_granted(flow, sender, reply, fresh, now, out);
        break;
    case ports::permit_verdict::refused:
        on_refused(flow, sender, reply, now, out);
        break;
    case ports::permit_verdict::wrong_owner:
    case ports::permit_verdict::not_ready:
        flow.permit_request_id = 0;
        wait_for_retry(flow,
            flow_phase::permit_retry_wait,
            std::max(reply.retry_after, next_retry_delay(flow, sender.settings)),
            now);
        break;
    }
    return out;
}

flow_actions on_owner_changed(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    if (flow.phase == flow_phase::requesting_permit)
    {
        withdraw_permit_request(flow, sender, out); // in case the owner is still the same process
        issue_permit_request(flow, sender, true, now, out);
    }
    else if (flow.phase == flow_phase::permit_retry_wait)
    {
        flow.permit_request_id = 0;
    }
    return out;
}

} // namespace camphorhitch::dispatch
