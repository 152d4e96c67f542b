#include "membership/roster_logic.hpp"

#include "core/invariant.hpp"
#include "roster_evidence.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::membership
{

namespace
{

bool was_member(const roster_state& state, const model::member_record& process)
{
    return state.current &&
           std::any_of(state.current->history.begin(),
               state.current->history.end(),
               [&](const auto& f) { return contains_process(f.members, process); });
}

/// A process that was removed rejoins only after it has been heard for `return_after`, so that a
/// member on an unreliable link doesn't cause a new epoch every few seconds.
bool may_join(const roster_state& state, const model::member_record& process, core::mono_time now)
{
    if (same_process(process, state.self))
    {
        return !state.leaving;
    }
    if (is_proven_ended(state, process) || is_unresponsive(state, process, now))
    {
        return false;
    }
    if (!was_member(state, process))
    {
        return true;
    }
    const auto* evidence = find_evidence(state, process);
    return evidence != nullptr && evidence->ever_heard &&
           now - evidence->heard_since >= state.settings.return_after &&
           !is_unresponsive_to_majority(state, process, now);
}

struct roster_change
{
    member_list members;
    std::vector<std::string> reasons;
};

roster_change plan_roster_change(const roster_state& state, core::mono_time now)
{
    roster_change change;
    for (const auto& it : members_of(state))
    {
        const auto reason = removal_reason(state, it, now);
        if (reason.empty())
        {
            change.members.push_back(it);
        }
        else
        {
            change.reasons.push_back(process_name(it) + " " + reason);
        }
    }
    for (const auto& it : state.leased)
    {
        if (!contains_process(members_of(state), it) && may_join(state, it, now))
        {
            change.members.push_back(it);
            change.reasons.push_back(process_name(it) + " joins");
        }
    }
    std::sort(change.members.begin(),
        change.members.end(),
        [](const auto& a, const auto& b) { return a.id < b.id; });
    return change;
}

/// A process outside the roster may write the roster only when no member is left that can. If a
/// removed process could add itself, it would undo its removal again and again.
bool may_propose(const roster_state& state, core::mono_time now)
{
    const auto& members = members_of(state);
    if (contains_process(members, state.self))
    {
        return true;
    }
    return std::all_of(members.begin(),
        members.end(),
        [&](const auto& it) { return !termination_evidence(state, it, now).empty(); });
}

std::size_t rank_of_self(const roster_state& state, const member_list& next_members)
{
    member_list survivors;
    std::copy_if(next_members.begin(),
        next_members.end(),
        std::back_inserter(survivors),
        [&](const auto& it) { return contains_process(members_of(state), it); });
    const auto& candidates = survivors.empty() ? next_members : survivors;
    const auto epoch = state.current ? state.current->epoch + 1 : 1;
    const auto order = rank_members(candidates, "roster/" + std::to_string(epoch));
    const auto it = std::find_if(order.begin(),
        order.end(),
        [&](std::size_t n) { return same_process(candidates[n], state.self); });
    return static_cast<std::size_t>(it - order.begin());
}

core::millis proposal_delay_of(
    const roster_state& state, const member_list& next_members, double random)
{
    if (state.leaving)
    {
        return core::millis{0};
    }
    const auto rank = rank_of_self(state, next_members);
    const auto jitter =
        rank == 0 ? 0.0 : random * static_cast<double>(state.settings.max_jitter.count());
    return state.settings.proposal_delay + state.settings.rank_delay * rank +
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
    if (next.history.size() > state.settings.max_history)
    {
        next.history.resize(state.settings.max_history);
    }
    return next;
}

/// After a pause of this process every peer seems unresponsive at once, and evidence collected
/// before the pause proves nothing any more.
void reset_evidence(roster_state& state, core::mono_time now)
{
    for (auto& it : state.peers)
    {
        it.last_heard = now;
        it.heard_since = now;
        it.consecutive_refusals = 0;
        it.unresponsive_peers.clear();
    }
    state.missing.clear();
    state.pending_since.reset();
    on_store_lost(state);
}

/// A process that was just removed must be heard anew, however long it was heard before. Otherwise,
/// a member that still hears it would add it again at once, and the other members would remove it
/// again.
void restart_evidence_of_removed(
    roster_state& state, const std::optional<model::roster_document>& next, core::mono_time now)
{
    for (auto& it : state.peers)
    {
        const bool is_member = next && contains_process(next->members, it.process);
        if (contains_process(members_of(state), it.process) && !is_member)
        {
            it.heard_since = now;
            it.ever_heard = false;
        }
    }
}

bool try_begin_action(roster_state& state, core::mono_time now)
{
    if (state.last_action_at && now - *state.last_action_at < state.settings.action_retry_delay)
    {
        return false;
    }
    state.last_action_at = now;
    return true;
}

std::vector<roster_action> propose(roster_state& state, double random, core::mono_time now)
{
    auto change = plan_roster_change(state, now);
    const bool changed = !state.current || !change.reasons.empty();
    if (!changed || !may_propose(state, now))
    {
        state.pending_since.reset();
        return {};
    }
    if (!state.pending_since || !same_processes(state.pending_members, change.members))
    {
        state.pending_members = change.members;
        state.pending_since = now;
        state.pending_delay = proposal_delay_of(state, change.members, random);
    }
    if (now - *state.pending_since < state.pending_delay || !try_begin_action(state, now))
    {
        return {};
    }
    core::require(state.leaving || contains_process(change.members, state.self),
        "a member proposes a roster without itself only when it leaves",
        process_name(state.self));
    return {propose_roster{
        next_roster(state, std::move(change.members)), state.revision, std::move(change.reasons)}};
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
        state.pending_since.reset();
        state.last_action_at.reset();
    }
    restart_evidence_of_removed(state, document, now);
    state.current = std::move(document);
    state.revision = modified;
    update_peer_evidence(state, now);
    update_missing_leases(state, now);
}

void on_reread(roster_state& state, std::uint64_t ticket, core::mono_time now)
{
    if (state.store_was_read || ticket < state.oldest_valid_ticket)
    {
        return;
    }
    state.store_was_read = true;
    state.store_readable_since = now;
    state.last_action_at.reset();
}

void on_leased(roster_state& state, member_list leased, core::mono_time now)
{
    state.leased = std::move(leased);
    update_peer_evidence(state, now);
    update_missing_leases(state, now);
}

void on_store_lost(roster_state& state)
{
    if (state.store_was_read)
    {
        state.last_action_at.reset();
    }
    state.store_was_read = false;
    state.oldest_valid_ticket = state.read_ticket + 1;
}

void on_heard(roster_state& state,
    const model::member_record& process,
    const std::vector<std::string>& unresponsive_peers,
    core::mono_time now)
{
    if (!is_known(state, process))
    {
        return;
    }
    auto& evidence = find_or_add_evidence(state, process, now);
    if (!evidence.ever_heard || now - evidence.last_heard > state.settings.unresponsive_after)
    {
        evidence.heard_since = now;
    }
    evidence.ever_heard = true;
    evidence.last_heard = now;
    evidence.consecutive_refusals = 0;
    evidence.unresponsive_peers = unresponsive_peers;
}

void on_refused(roster_state& state, const model::member_record& process, core::mono_time now)
{
    if (is_known(state, process))
    {
        ++find_or_add_evidence(state, process, now).consecutive_refusals;
    }
}

void leave(roster_state& state)
{
    state.leaving = true;
    state.pending_since.reset();
    state.last_action_at.reset();
}

std::vector<std::string> unresponsive_peers(const roster_state& state, core::mono_time now)
{
    std::vector<std::string> ids;
    for (const auto& it : state.peers)
    {
        if (!same_process(it.process, state.self) && is_unresponsive(state, it.process, now))
        {
            ids.push_back(it.process.id);
        }
    }
    return ids;
}

std::vector<roster_action> on_tick(roster_state& state, double random, core::mono_time now)
{
    const bool paused = state.last_tick && now - *state.last_tick > state.settings.max_tick_gap;
    state.last_tick = now;
    if (paused)
    {
        reset_evidence(state, now);
    }
    if (!state.store_was_read)
    {
        if (!try_begin_action(state, now))
        {
            return {};
        }
        return {reread_store{++state.read_ticket}};
    }
    if (!state.leaving && !contains_process(state.leased, state.self))
    {
        state.pending_since.reset();
        return try_begin_action(state, now) ? std::vector<roster_action>{register_self{}}
                                            : std::vector<roster_action>{};
    }
    return propose(state, random, now);
}

} // namespace camphorhitch::membership
