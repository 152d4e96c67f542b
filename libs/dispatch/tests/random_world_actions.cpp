#include "random_world.hpp"

#include <algorithm>

namespace camphorhitch::dispatch::test
{

void random_world::feed_owner(std::size_t owner, const permit_answers& answers)
{
    (void)owner;
    for (const auto& it : answers)
    {
        const auto ask = asks_.find(it.to);
        if (ask == asks_.end())
        {
            continue;
        }
        const auto id = ask->second;
        const auto hear = [this, id, it](ports::peer_status status, bool fresh)
        {
            if (is_alive(id))
            {
                act(id,
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
        post([hear, fresh] { hear(ports::peer_status::ok, fresh); },
            [hear] { hear(ports::peer_status::unreachable, true); });
    }
}

void random_world::act(std::size_t call, const flow_actions& actions)
{
    for (const auto& it : actions)
    {
        std::visit([&](const auto& action) { perform(call, action); }, it);
    }
}

void random_world::perform(std::size_t call, const ask_permit& it)
{
    const auto owner = follows_[calls_[call]->sender];
    asks_[{it.message.member, it.message.incarnation, it.message.request}] = call;
    post([this, owner, message = it.message]
        { feed_owner(owner, on_request(*owners_[owner], message, now_)); },
        [this, call, ask = it.message.request]
        {
            if (is_alive(call))
            {
                act(call,
                    on_permit(calls_[call]->flow,
                        sender_of(call),
                        ask,
                        ports::peer_status::unreachable,
                        {},
                        true,
                        now_));
            }
        });
}

void random_world::perform(std::size_t call, const ask_claim& it)
{
    const auto hear = [this, call](ports::peer_status status, const ports::claim_reply& reply)
    {
        if (is_alive(call))
        {
            act(call, on_claim(calls_[call]->flow, sender_of(call), status, reply, now_));
        }
    };
    const auto lose = [hear]
    {
        hear(ports::peer_status::unreachable, {});
    };
    const auto decide = [this, hear, lose, message = it.message]
    {
        const auto reply = claim(message);
        post([hear, reply] { hear(ports::peer_status::ok, reply); }, lose);
    };
    post(decide, lose);
}

void random_world::perform(std::size_t call, const send_request& it)
{
    const auto& mark = marks_[it.host];
    const auto& flow = calls_[call]->flow;
    const auto ttl = sender_of(call).settings.permit_ttl;
    require(!mark.handed_over, "a request is sent to a host that was handed over");
    require(!mark.marked || now_ - mark.since <= ttl, "a request is sent long after the mark");
    require(!calls_[call]->keyed || !key_ran(flow.request.key), "a keyed request is sent twice");
    runs_.push_back({call, it.host, false, now_ + it.total_timeout});
    happened_.sends += 1;
    const auto there = std::count_if(
        runs_.begin(), runs_.end(), [&](const auto& run) { return run.host == it.host; });
    require(there <= document_.hosts.front().slots, "a target has more requests than slots");
}

void random_world::perform(std::size_t call, const cancel_send&)
{
    for (auto& it : runs_)
    {
        if (it.call == call && !it.cut)
        {
            calls_[call]->runs += 1;
            it.cut = true;
            it.ends = now_ + owners_.back()->settings.silent_linger;
        }
    }
}

void random_world::perform(std::size_t call, const return_permit& it)
{
    const auto owner = follows_[calls_[call]->sender];
    post([this, owner, message = it.message]
        { feed_owner(owner, on_return(*owners_[owner], message, now_)); },
        [] {});
}

void random_world::perform(std::size_t call, const finish_claim& it)
{
    const auto hear = [this, call](ports::peer_status status)
    {
        if (is_alive(call))
        {
            act(call, on_finish_ack(calls_[call]->flow, sender_of(call), status, {true}, now_));
        }
    };
    const auto lose = [hear]
    {
        hear(ports::peer_status::unreachable);
    };
    const auto decide = [this, hear, lose, message = it.message]
    {
        const auto at = keys_.find(message.key);
        if (at != keys_.end() && at->second.attempt == message.attempt &&
            at->second.executor == message.executor)
        {
            at->second = message.entry;
            at->second.state = message.not_run ? ports::claim_state::released : message.entry.state;
        }
        post([hear] { hear(ports::peer_status::ok); }, lose);
    };
    post(decide, lose);
}

void random_world::perform(std::size_t call, const answer_caller& it)
{
    auto& answered = *calls_[call];
    answered.answers += 1;
    answered.told_not_run = it.outcome == caller_outcome::not_run;
    happened_.answered += it.outcome == caller_outcome::answered ? 1 : 0;
    happened_.not_run += it.outcome == caller_outcome::not_run ? 1 : 0;
    happened_.unknown += it.outcome == caller_outcome::unknown ? 1 : 0;
    if (answered.told_not_run && answered.keyed)
    {
        require(!key_ran(answered.flow.request.key), "'not run' was said of a key that ran");
    }
}

/// Both holders of a slot in one, as far as a flow can tell.
ports::claim_reply random_world::claim(const ports::claim_request& it)
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

bool random_world::is_alive(std::size_t call) const
{
    return calls_[call]->process == processes_[calls_[call]->sender];
}

/// Whether a request with that key is running or has run. One that never left does not count.
bool random_world::key_ran(const std::string& key) const
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

request_sender& random_world::sender_of(std::size_t call)
{
    return senders_[calls_[call]->sender];
}

} // namespace camphorhitch::dispatch::test
