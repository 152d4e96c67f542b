#include "membership/roster_logic.hpp"

#include "core/invariant.hpp"
#include "roster_evidence.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::membership
{

namespace
{

bool was_member(const roster_state& state, const model::member_record& who)
{
    return state.current && std::any_of(state.current->history.begin(),
                                state.current->history.end(),
                                [&](const auto& f) { return contains_process(f.members, who); });
}

/// A process that was removed before comes back only when it has been heard for a while, so that a
/// member on a bad link doesn't make a new epoch every few seconds.
bool may_join(const roster_state& state, const model::member_record& who, core::mono_time now)
{
    if (same_process(who, state.self))
    {
        return !state.leaving;
    }
    if (is_gone(state, who) || is_silent(state, who, now))
    {
        return false;
    }
    if (!was_member(state, who))
    {
        return true;
    }
    const auto* evidence = find_evidence(state, who);
    return evidence != nullptr && evidence->ever_heard &&
           now - evidence->heard_since >= state.settings.return_after &&
           !is_silent_to_majority(state, who, now);
}

struct wanted_roster
{
    member_list members;
    std::vector<std::string> reasons;
};

wanted_roster wanted_members(const roster_state& state, core::mono_time now)
{
    wanted_roster wanted;
    for (const auto& it : members_of(state))
    {
        const auto reason = why_remove(state, it, now);
        if (reason.empty())
        {
            wanted.members.push_back(it);
        }
        else
        {
            wanted.reasons.push_back(process_name(it) + " " + reason);
        }
    }
    for (const auto& it : state.leased)
    {
        if (!contains_process(members_of(state), it) && may_join(state, it, now))
        {
            wanted.members.push_back(it);
            wanted.reasons.push_back(process_name(it) + " joins");
        }
    }
    std::sort(wanted.members.begin(),
        wanted.members.end(),
        [](const auto& a, const auto& b) { return a.id < b.id; });
    return wanted;
}

/// One outside the roster may write it only when nobody inside is left to do so. A removed process
/// that added itself again would undo its removal for ever.
bool may_propose(const roster_state& state, core::mono_time now)
{
    const auto& members = members_of(state);
    if (contains_process(members, state.self))
    {
        return true;
    }
    return std::all_of(members.begin(),
        members.end(),
        [&](const auto& it) { return !why_dead(state, it, now).empty(); });
}

std::size_t rank_of_self(const roster_state& state, const member_list& wanted)
{
    member_list survivors;
    std::copy_if(wanted.begin(),
        wanted.end(),
        std::back_inserter(survivors),
        [&](const auto& it) { return contains_process(members_of(state), it); });
    const auto& candidates = survivors.empty() ? wanted : survivors;
    const auto epoch = state.current ? state.current->epoch + 1 : 1;
    const auto order = order_for(candidates, "roster/" + std::to_string(epoch));
    const auto it = std::find_if(order.begin(),
        order.end(),
        [&](std::size_t n) { return same_process(candidates[n], state.self); });
    return static_cast<std::size_t>(it - order.begin());
}

core::millis wait_of(const roster_state& state, const member_list& wanted, double random)
{
    if (state.leaving)
    {
        return core::millis{0};
    }
    const auto rank = rank_of_self(state, wanted);
    const auto jitter =
        rank == 0 ? 0.0 : random * static_cast<double>(state.settings.jitter.count());
    return state.settings.settle + state.settings.rank_step * rank +
           core::millis{static_cast<std::int64_t>(jitter)};
}

bool same_processes(const member_list& a, const member_list& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same_process);
}

model::roster_document next_roster(const roster_state& state, member_list members)
{
    model::roster_document next;
    next.members = std::move(members);
    next.epoch = 1;
    if (state.current)
    {
        next.epoch = state.current->epoch + 1;
        next.history = state.current->history;
        next.history.insert(next.history.begin(), {state.current->epoch, state.current->members});
    }
    if (next.history.size() > state.settings.history)
    {
        next.history.resize(state.settings.history);
    }
    return next;
}

/// A pause makes every peer look silent at once; what stood before it proves nothing any more.
void forget_evidence(roster_state& state, core::mono_time now)
{
    for (auto& it : state.peers)
    {
        it.heard = now;
        it.heard_since = now;
        it.refused = 0;
        it.silent_peers.clear();
    }
    state.missing.clear();
    state.wanted_since.reset();
    on_store_lost(state);
}

/// A process that was just removed has to be heard anew, however long it was heard before;
/// otherwise who still hears it would bring it back at once, and the others remove it again.
void restart_removed(
    roster_state& state, const std::optional<model::roster_document>& next, core::mono_time now)
{
    for (auto& it : state.peers)
    {
        const bool is_member = next && contains_process(next->members, it.who);
        if (contains_process(members_of(state), it.who) && !is_member)
        {
            it.heard_since = now;
            it.ever_heard = false;
        }
    }
}

bool may_act_again(roster_state& state, core::mono_time now)
{
    if (state.acted && now - *state.acted < state.settings.repeat)
    {
        return false;
    }
    state.acted = now;
    return true;
}

std::vector<roster_action> propose(roster_state& state, double random, core::mono_time now)
{
    auto wanted = wanted_members(state, now);
    const bool changed = !state.current || !wanted.reasons.empty();
    if (!changed || !may_propose(state, now))
    {
        state.wanted_since.reset();
        return {};
    }
    if (!state.wanted_since || !same_processes(state.wanted, wanted.members))
    {
        state.wanted = wanted.members;
        state.wanted_since = now;
        state.wait = wait_of(state, wanted.members, random);
    }
    if (now - *state.wanted_since < state.wait || !may_act_again(state, now))
    {
        return {};
    }
    core::require(state.leaving || contains_process(wanted.members, state.self),
        "a member proposes a roster without itself only when it leaves",
        process_name(state.self));
    return {propose_roster{
        next_roster(state, std::move(wanted.members)), state.revision, std::move(wanted.reasons)}};
}

} // namespace

void on_roster(roster_state& state,
    std::optional<model::roster_document> document,
    ports::revision modified,
    core::mono_time now)
{
    if (modified < state.revision)
    {
        return;
    }
    if (modified > state.revision)
    {
        state.wanted_since.reset();
        state.acted.reset();
    }
    restart_removed(state, document, now);
    state.current = std::move(document);
    state.revision = modified;
    track_peers(state, now);
    track_leases(state, now);
}

void on_reread(roster_state& state, std::uint64_t ticket, core::mono_time now)
{
    if (state.read || ticket < state.valid_ticket)
    {
        return;
    }
    state.read = true;
    state.store_back = now;
    state.acted.reset();
}

void on_leased(roster_state& state, member_list leased, core::mono_time now)
{
    state.leased = std::move(leased);
    track_peers(state, now);
    track_leases(state, now);
}

void on_store_lost(roster_state& state)
{
    if (state.read)
    {
        state.acted.reset();
    }
    state.read = false;
    state.valid_ticket = state.read_ticket + 1;
}

void on_heard(roster_state& state,
    const model::member_record& who,
    const std::vector<std::string>& silent_peers,
    core::mono_time now)
{
    if (!is_known(state, who))
    {
        return;
    }
    auto& evidence = evidence_of(state, who, now);
    if (!evidence.ever_heard || now - evidence.heard > state.settings.silence_limit)
    {
        evidence.heard_since = now;
    }
    evidence.ever_heard = true;
    evidence.heard = now;
    evidence.refused = 0;
    evidence.silent_peers = silent_peers;
}

void on_refused(roster_state& state, const model::member_record& who, core::mono_time now)
{
    if (is_known(state, who))
    {
        ++evidence_of(state, who, now).refused;
    }
}

void leave(roster_state& state)
{
    state.leaving = true;
    state.wanted_since.reset();
    state.acted.reset();
}

std::vector<std::string> silent_peers(const roster_state& state, core::mono_time now)
{
    std::vector<std::string> silent;
    for (const auto& it : state.peers)
    {
        if (!same_process(it.who, state.self) && is_silent(state, it.who, now))
        {
            silent.push_back(it.who.id);
        }
    }
    return silent;
}

std::vector<roster_action> on_tick(roster_state& state, double random, core::mono_time now)
{
    const bool paused = state.last_tick && now - *state.last_tick > state.settings.tick_gap;
    state.last_tick = now;
    if (paused)
    {
        forget_evidence(state, now);
    }
    if (!state.read)
    {
        if (!may_act_again(state, now))
        {
            return {};
        }
        return {reread_store{++state.read_ticket}};
    }
    if (!state.leaving && !contains_process(state.leased, state.self))
    {
        state.wanted_since.reset();
        return may_act_again(state, now) ? std::vector<roster_action>{register_self{}}
                                         : std::vector<roster_action>{};
    }
    return propose(state, random, now);
}

} // namespace camphorhitch::membership
