#include "flow_parts.hpp"

#include "dispatch/dispatcher.hpp"
#include "flow_answers.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

/// An age bound that holds whatever the network did: the grant came at least `waited` after the
/// ask.
bool has_lapsed(const request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    core::mono_time now)
{
    return now - flow.asked_at - permit.waited >= sender.settings.permit_ttl;
}

bool is_fenced(const request_flow& flow, const request_sender& sender)
{
    const auto it = sender.refuse_below.find(flow.request.pool);
    return it != sender.refuse_below.end() && flow.ask_epoch < it->second;
}

void on_refused(request_flow& flow,
    request_sender& sender,
    const ports::permit_reply& reply,
    core::mono_time now,
    flow_actions& out)
{
    if (core::value_of(refusal_names, reply.reason) == refusal::given_up)
    {
        ask_for_permit(flow, sender, true, now, out); // the owner let go of this number
        return;
    }
    end_unsent(
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
        !has_lapsed(flow, sender, reply, now))
    {
        flow.pause = core::millis{0};
        start_send(flow, sender, reply, now, out);
        return;
    }
    // A process that was paused wakes here with an old view: the target may have been handed to
    // maintenance meanwhile, and a request sent to it would be cut off.
    give_permit_back(
        flow, sender, reply, flow.ask, ports::permit_outcome::unused, core::micros{0}, out);
    flow.ask = 0;
    if (fresh && !claim_holds && now < flow.deadline)
    {
        ask_for_claim(flow, sender, now, out); // the holders may forget a claim as old as this one
        return;
    }
    pause_in(flow, flow_phase::ask_pause, next_pause(flow, sender.settings), now);
}

} // namespace

void ask_for_permit(
    request_flow& flow, request_sender& sender, bool renew, core::mono_time now, flow_actions& out)
{
    flow.phase = flow_phase::asking;
    if (renew || flow.ask == 0)
    {
        flow.ask = sender.next_number++;
        flow.asked_at = now;
        flow.ask_epoch = sender.epoch;
    }
    ask_permit it;
    it.message.epoch = flow.ask_epoch;
    it.message.member = sender.member;
    it.message.incarnation = sender.incarnation;
    it.message.request = flow.ask;
    it.message.pool = flow.request.pool;
    it.message.zone = sender.zone;
    it.message.klass = flow.request.klass;
    it.message.time_left = std::chrono::duration_cast<core::millis>(flow.deadline - now);
    it.message.expected = flow.request.expected;
    it.message.avoid = flow.avoid;
    it.message.retry = flow.retrying || flow.request.earlier_attempts > 0;
    out.emplace_back(std::move(it));
}

void give_permit_back(const request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    std::uint64_t ask,
    ports::permit_outcome outcome,
    core::micros elapsed,
    flow_actions& out)
{
    return_permit it;
    it.message.member = sender.member;
    it.message.incarnation = sender.incarnation;
    it.message.request = ask;
    it.message.permit = permit.permit;
    it.message.pool = flow.request.pool;
    it.message.host = permit.host;
    it.message.outcome = outcome;
    it.message.elapsed = elapsed;
    out.emplace_back(std::move(it));
}

void withdraw_ask(const request_flow& flow, const request_sender& sender, flow_actions& out)
{
    if (flow.ask != 0)
    {
        give_permit_back(
            flow, sender, {}, flow.ask, ports::permit_outcome::unused, core::micros{0}, out);
    }
}

void on_held_query(request_sender& sender, const ports::held_query& query)
{
    for (const auto& it : query.pools)
    {
        auto& below = sender.refuse_below[it];
        below = std::max(below, query.epoch);
    }
}

flow_actions on_permit(request_flow& flow,
    request_sender& sender,
    std::uint64_t ask,
    ports::peer_status status,
    const ports::permit_reply& reply,
    bool fresh,
    core::mono_time now)
{
    flow_actions out;
    const bool ok = status == ports::peer_status::ok;
    if (flow.phase != flow_phase::asking || ask != flow.ask)
    {
        const bool in_use = flow.phase == flow_phase::sending && ask == flow.ask;
        if (ok && reply.verdict == ports::permit_verdict::granted && !in_use)
        {
            give_permit_back(
                flow, sender, reply, ask, ports::permit_outcome::unused, core::micros{0}, out);
        }
        return out;
    }
    if (!ok)
    {
        // Unreachable: the permit may have been given; the same number asks for that same permit.
        flow.ask = status == ports::peer_status::refused ? 0 : flow.ask;
        pause_in(flow, flow_phase::ask_pause, next_pause(flow, sender.settings), now);
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
        flow.ask = 0;
        pause_in(flow,
            flow_phase::ask_pause,
            std::max(reply.retry_after, next_pause(flow, sender.settings)),
            now);
        break;
    }
    return out;
}

flow_actions on_owner_changed(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    if (flow.phase == flow_phase::asking)
    {
        withdraw_ask(flow, sender, out); // should the owner be the same one after all
        ask_for_permit(flow, sender, true, now, out);
    }
    else if (flow.phase == flow_phase::ask_pause)
    {
        flow.ask = 0;
    }
    return out;
}

} // namespace camphorhitch::dispatch
