#include "random_simulation.hpp"

#include <algorithm>

namespace camphorhitch::dispatch::test
{

void random_simulation::deliver_answers(std::size_t owner, const permit_answers& answers)
{
    (void)owner;
    for (const auto& it : answers)
    {
        const auto found = permit_requests_.find(it.to);
        if (found == permit_requests_.end())
        {
            continue;
        }
        const auto id = found->second;
        const auto receive = [this, id, it](ports::peer_status status, bool fresh)
        {
            if (is_alive(id))
            {
                perform_all(id,
                    on_permit(calls_[id]->flow,
                        sender_of(id),
                        it.to.request,
                        status,
                        it.reply,
                        fresh,
                        now_));
            }
        };
        const bool fresh = it.to.request % 16 != 0;
        post([receive, fresh] { receive(ports::peer_status::ok, fresh); },
            [receive] { receive(ports::peer_status::unreachable, true); });
    }
}

void random_simulation::perform_all(std::size_t call, const flow_actions& actions)
{
    for (const auto& it : actions)
    {
        std::visit([&](const auto& action) { perform(call, action); }, it);
    }
}

void random_simulation::perform(std::size_t call, const request_permit& it)
{
    const auto owner = known_owner_[calls_[call]->sender];
    permit_requests_[{it.message.member, it.message.incarnation, it.message.request}] = call;
    post([this, owner, message = it.message]
        { deliver_answers(owner, on_request(*owners_[owner], message, now_)); },
        [this, call, number = it.message.request]
        {
            if (is_alive(call))
            {
                perform_all(call,
                    on_permit(calls_[call]->flow,
                        sender_of(call),
                        number,
                        ports::peer_status::unreachable,
                        {},
                        true,
                        now_));
            }
        });
}

void random_simulation::perform(std::size_t call, const request_claim& it)
{
    const auto receive = [this, call](ports::peer_status status, const ports::claim_reply& reply)
    {
        if (is_alive(call))
        {
            perform_all(call, on_claim(calls_[call]->flow, sender_of(call), status, reply, now_));
        }
    };
    const auto lose = [receive]
    {
        receive(ports::peer_status::unreachable, {});
    };
    const auto decide = [this, receive, lose, message = it.message]
    {
        const auto reply = claim(message);
        post([receive, reply] { receive(ports::peer_status::ok, reply); }, lose);
    };
    post(decide, lose);
}

void random_simulation::perform(std::size_t call, const send_request& it)
{
    const auto& mark = marks_[it.host];
    const auto& flow = calls_[call]->flow;
    const auto ttl = sender_of(call).settings.permit_ttl;
    require(!mark.handed_over, "a request is sent to a host that was handed over");
    require(!mark.draining || now_ - mark.since <= ttl,
        "a request is sent to a host that has been draining for too long");
    require(!calls_[call]->keyed || !key_ran(flow.request.key), "a keyed request is sent twice");
    runs_.push_back({call, it.host, false, now_ + it.total_timeout});
    event_counts_.sends += 1;
    const auto there = std::count_if(
        runs_.begin(), runs_.end(), [&](const auto& run) { return run.host == it.host; });
    require(there <= document_.hosts.front().slots, "a target has more requests than slots");
}

void random_simulation::perform(std::size_t call, const cancel_send&)
{
    for (auto& it : runs_)
    {
        if (it.call == call && !it.disconnected)
        {
            calls_[call]->runs += 1;
            it.disconnected = true;
            it.ends = now_ + owners_.back()->settings.max_run_after_disconnect;
        }
    }
}

void random_simulation::perform(std::size_t call, const return_permit& it)
{
    const auto owner = known_owner_[calls_[call]->sender];
    post([this, owner, message = it.message]
        { deliver_answers(owner, on_return(*owners_[owner], message, now_)); },
        [] {});
}

void random_simulation::perform(std::size_t call, const finish_claim& it)
{
    const auto receive = [this, call](ports::peer_status status)
    {
        if (is_alive(call))
        {
            perform_all(
                call, on_finish_ack(calls_[call]->flow, sender_of(call), status, {true}, now_));
        }
    };
    const auto lose = [receive]
    {
        receive(ports::peer_status::unreachable);
    };
    const auto decide = [this, receive, lose, message = it.message]
    {
        const auto at = keys_.find(message.key);
        if (at != keys_.end() && at->second.attempt == message.attempt &&
            at->second.executor == message.executor)
        {
            at->second = message.entry;
            at->second.state = message.not_run ? ports::claim_state::released : message.entry.state;
        }
        post([receive] { receive(ports::peer_status::ok); }, lose);
    };
    post(decide, lose);
}

void random_simulation::perform(std::size_t call, const answer_caller& it)
{
    auto& answered = *calls_[call];
    answered.answers += 1;
    answered.answered_not_run = it.outcome == caller_outcome::not_run;
    event_counts_.answered += it.outcome == caller_outcome::answered ? 1 : 0;
    event_counts_.not_run += it.outcome == caller_outcome::not_run ? 1 : 0;
    event_counts_.unknown += it.outcome == caller_outcome::unknown ? 1 : 0;
    if (answered.answered_not_run && answered.keyed)
    {
        require(!key_ran(answered.flow.request.key), "'not run' was said of a key that ran");
    }
}

/// Answers a claim request like the two holders of a slot together.
ports::claim_reply random_simulation::claim(const ports::claim_request& it)
{
    auto& entry = keys_[it.key];
    const bool same = entry.executor == it.executor && entry.attempt == it.attempt;
    const bool free = entry.key.empty() || (entry.state == ports::claim_state::released && !same);
    ports::claim_reply out;
    if (free)
    {
        entry = {};
        entry.key = it.key;
        entry.executor = it.executor;
        entry.attempt = it.attempt;
    }
    const bool granted = free || (same && entry.state == ports::claim_state::claimed);
    out.verdict = granted ? ports::claim_verdict::granted : ports::claim_verdict::known;
    out.entry = entry;
    return out;
}

bool random_simulation::is_alive(std::size_t call) const
{
    return calls_[call]->process == processes_[calls_[call]->sender];
}

/// \return whether a request with that key is running or has run. A request that was never sent
/// does not count.
bool random_simulation::key_ran(const std::string& key) const
{
    const auto same = [&](const call& it)
    {
        return it.keyed && it.flow.request.key == key;
    };
    return std::any_of(calls_.begin(),
               calls_.end(),
               [&](const auto& it) { return same(*it) && it->runs > 0; }) ||
           std::any_of(
               runs_.begin(), runs_.end(), [&](const auto& it) { return same(*calls_[it.call]); });
}

request_sender& random_simulation::sender_of(std::size_t call)
{
    return senders_[calls_[call]->sender];
}

} // namespace camphorhitch::dispatch::test
