#include "dispatch/request_flow.hpp"

#include "core/invariant.hpp"
#include "dispatch/dispatcher.hpp"
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

std::string executor_of(const request_sender& sender)
{
    return sender.member + "/" + sender.incarnation;
}

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

/// Gives the claim back: this attempt was not sent and will not be.
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

/// \param renew a new number: nothing of the ask before can be outstanding, or it was given back.
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

/// The end of a request that is not in flight (any more).
void end_unsent(
    request_flow& flow, const request_sender& sender, answer_caller refused, flow_actions& out)
{
    flow.phase = flow_phase::ended;
    if (flow.kept)
    {
        answer(flow, target_answer(std::move(*flow.kept)), out);
        return;
    }
    if (flow.may_have_run)
    {
        const int status =
            refused.response.status == status_timeout ? status_timeout : status_bad_gateway;
        answer(flow,
            own_answer(status,
                caller_outcome::unknown,
                refused.retry_after,
                "it may have run; sending it again was refused: " + refused.detail),
            out);
        return;
    }
    release_claim(flow, sender, out);
    answer(flow, std::move(refused), out);
}

void give_up(request_flow& flow, const request_sender& sender, flow_actions& out)
{
    const auto late = std::string{core::name_of(refusal_names, refusal::deadline)};
    const bool claiming =
        flow.phase == flow_phase::claiming || flow.phase == flow_phase::claim_pause;
    if (claiming)
    {
        end_unsent(flow, sender, claim_answer({}, sender.settings), out);
        return;
    }
    withdraw_ask(flow, sender, out);
    end_unsent(flow, sender, not_run_answer(late, core::millis{0}, sender.settings), out);
}

void stop_sending(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    out.emplace_back(cancel_send{});
    give_permit_back(flow,
        sender,
        flow.permit,
        flow.ask,
        ports::permit_outcome::silent,
        now - flow.sent_at,
        out);
    flow.phase = flow_phase::ended;
    flow.may_have_run = true;
}

/// The deadline passed while the request is in flight: the caller gets its answer at once. What
/// may not run twice is left to finish, so that a repeat can be given its result.
void time_out_sending(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out)
{
    if (flow.request.idempotent)
    {
        stop_sending(flow, sender, now, out);
    }
    answer(flow,
        own_answer(status_timeout,
            caller_outcome::unknown,
            sender.settings.retry_after,
            "no answer from the target in time"),
        out);
}

std::string to_field(std::int64_t n)
{
    return std::to_string(n);
}

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
        flow.request.key.empty() || flow.claimed, "send without its claim", flow.request.key);
    send_request it;
    it.host = permit.host;
    it.address = permit.address;
    it.fresh_connection = !flow.request.idempotent;
    it.connect_timeout = std::min(sender.settings.connect_timeout, left);
    it.total_timeout = flow.request.idempotent ? left : left + sender.settings.result_grace;
    it.fields.emplace_back(std::string{fields::time_left}, to_field(left.count()));
    if (flow.sends > 0)
    {
        it.fields.emplace_back(std::string{fields::retry}, to_field(flow.sends));
    }
    flow.phase = flow_phase::sending;
    flow.permit = permit;
    flow.sent_at = now;
    flow.send_until = now + it.total_timeout;
    flow.sends += 1;
    out.emplace_back(std::move(it));
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
    end_unsent(flow, sender, not_run_answer(reply.reason, reply.retry_after, sender.settings), out);
}

void on_granted(request_flow& flow,
    request_sender& sender,
    const ports::permit_reply& reply,
    bool fresh,
    core::mono_time now,
    flow_actions& out)
{
    if (now < flow.deadline && fresh && !is_fenced(flow, sender) &&
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
    pause_in(flow, flow_phase::ask_pause, next_pause(flow, sender.settings), now);
}

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
    flow.phase = flow_phase::ended;
    keep_result(flow, sender, ports::claim_state::done, outcome.response, out);
    answer(flow, target_answer(outcome.response), out);
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
            "target_not_reached"),
        out);
}

void on_lost(request_flow& flow,
    request_sender& sender,
    const std::string& detail,
    core::mono_time now,
    flow_actions& out)
{
    flow.may_have_run = true;
    if (flow.request.idempotent && may_send_again(flow, sender, now))
    {
        flow.retrying = true;
        send_again(flow, sender, now, out);
        return;
    }
    flow.phase = flow_phase::ended;
    keep_result(flow, sender, ports::claim_state::unknown, {}, out);
    if (flow.kept)
    {
        answer(flow, target_answer(std::move(*flow.kept)), out);
        return;
    }
    const int status = now >= flow.deadline ? status_timeout : status_bad_gateway;
    answer(flow,
        own_answer(status,
            caller_outcome::unknown,
            sender.settings.retry_after,
            "it may have run: " + detail),
        out);
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
    case ports::claim_state::claimed:
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

void on_held_query(request_sender& sender, const ports::held_query& query)
{
    for (const auto& it : query.pools)
    {
        auto& below = sender.refuse_below[it];
        below = std::max(below, query.epoch);
    }
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
    flow.attempt = sender.next_number++;
    ask_for_claim(flow, sender, out);
    return out;
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
    give_permit_back(
        flow, sender, flow.permit, flow.ask, outcome_for_owner(outcome), outcome.elapsed, out);
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
        on_lost(flow, sender, outcome.detail, now, out);
        break;
    }
    return out;
}

flow_actions on_timer(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    if (flow.phase == flow_phase::ended || now < wake_at(flow))
    {
        return out;
    }
    if (flow.phase == flow_phase::sending)
    {
        time_out_sending(flow, sender, now, out);
    }
    else if (now >= flow.deadline)
    {
        give_up(flow, sender, out);
    }
    else if (flow.phase == flow_phase::claim_pause)
    {
        ask_for_claim(flow, sender, out);
    }
    else if (flow.phase == flow_phase::ask_pause)
    {
        ask_for_permit(flow, sender, false, now, out);
    }
    return out;
}

flow_actions on_caller_gone(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    flow.caller_waits = false;
    if (flow.phase == flow_phase::sending && flow.request.idempotent)
    {
        stop_sending(flow, sender, now, out);
    }
    else if (flow.phase != flow_phase::sending && flow.phase != flow_phase::ended)
    {
        give_up(flow, sender, out);
    }
    return out;
}

flow_actions on_owner_changed(request_flow& flow, request_sender& sender, core::mono_time now)
{
    flow_actions out;
    if (flow.phase == flow_phase::asking)
    {
        ask_for_permit(flow, sender, true, now, out);
    }
    else if (flow.phase == flow_phase::ask_pause)
    {
        flow.ask = 0;
    }
    return out;
}

core::mono_time wake_at(const request_flow& flow)
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
    case flow_phase::ended:
        break;
    }
    return core::mono_time::max();
}

std::optional<ports::held_permit> held_by(const request_flow& flow, core::mono_time now)
{
    if (flow.phase != flow_phase::sending)
    {
        return std::nullopt;
    }
    ports::held_permit out;
    out.pool = flow.request.pool;
    out.host = flow.permit.host;
    out.request = flow.ask;
    out.age = std::chrono::duration_cast<core::millis>(now - flow.sent_at);
    return out;
}

bool has_ended(const request_flow& flow)
{
    return flow.phase == flow_phase::ended;
}

} // namespace camphorhitch::dispatch
