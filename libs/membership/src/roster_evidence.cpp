#include "roster_evidence.hpp"

#include "membership/freshness.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::membership
{

namespace
{

bool is_replaced(const roster_state& state, const model::member_record& process)
{
    const auto* leased = find_member(state.leased, process.id);
    return leased != nullptr && !same_process(*leased, process);
}

/// After an outage of the store, all leases may have expired at once. Their holders need time to
/// register again, and until then a missing lease proves nothing.
bool has_lost_lease(
    const roster_state& state, const model::member_record& process, core::mono_time now)
{
    const auto it = std::find_if(state.missing.begin(),
        state.missing.end(),
        [&](const auto& m) { return same_process(m.process, process); });
    return it != state.missing.end() && now - it->since >= state.settings.lease_grace &&
           now - state.store_readable_since >= state.settings.lease_recovery_time;
}

} // namespace

const member_list& members_of(const roster_state& state)
{
    static const member_list none;
    return state.current ? state.current->members : none;
}

const peer_evidence* find_evidence(const roster_state& state, const model::member_record& process)
{
    const auto it = std::find_if(state.peers.begin(),
        state.peers.end(),
        [&](const auto& p) { return same_process(p.process, process); });
    return it == state.peers.end() ? nullptr : &*it;
}

peer_evidence& find_or_add_evidence(
    roster_state& state, const model::member_record& process, core::mono_time now)
{
    for (auto& it : state.peers)
    {
        if (same_process(it.process, process))
        {
            return it;
        }
    }
    peer_evidence fresh;
    fresh.process = process;
    fresh.last_heard = now;
    fresh.heard_since = now;
    state.peers.push_back(std::move(fresh));
    return state.peers.back();
}

bool is_known(const roster_state& state, const model::member_record& process)
{
    return contains_process(members_of(state), process) || contains_process(state.leased, process);
}

void update_peer_evidence(roster_state& state, core::mono_time now)
{
    std::erase_if(state.peers, [&](const auto& p) { return !is_known(state, p.process); });
    for (const auto& it : members_of(state))
    {
        find_or_add_evidence(state, it, now);
    }
    for (const auto& it : state.leased)
    {
        find_or_add_evidence(state, it, now);
    }
}

void update_missing_leases(roster_state& state, core::mono_time now)
{
    std::vector<missing_lease> missing;
    for (const auto& it : members_of(state))
    {
        if (contains_process(state.leased, it))
        {
            continue;
        }
        const auto previous = std::find_if(state.missing.begin(),
            state.missing.end(),
            [&](const auto& m) { return same_process(m.process, it); });
        missing.push_back({it, previous == state.missing.end() ? now : previous->since});
    }
    state.missing = std::move(missing);
}

bool is_unresponsive(
    const roster_state& state, const model::member_record& process, core::mono_time now)
{
    const auto* evidence = find_evidence(state, process);
    return evidence != nullptr && now - evidence->last_heard > state.settings.unresponsive_after;
}

bool is_proven_ended(const roster_state& state, const model::member_record& process)
{
    const auto* evidence = find_evidence(state, process);
    return evidence != nullptr && evidence->consecutive_refusals >= state.settings.refused_limit;
}

bool is_unresponsive_to_majority(
    const roster_state& state, const model::member_record& process, core::mono_time now)
{
    std::size_t votes = is_unresponsive(state, process, now) ? 1 : 0;
    for (const auto& member : members_of(state))
    {
        const auto* peer = find_evidence(state, member);
        if (peer == nullptr || same_process(member, state.self) ||
            is_unresponsive(state, member, now))
        {
            continue;
        }
        const auto& reported = peer->unresponsive_peers;
        votes += std::find(reported.begin(), reported.end(), process.id) != reported.end() ? 1 : 0;
    }
    return votes >= majority_of(members_of(state).size());
}

std::string termination_evidence(
    const roster_state& state, const model::member_record& process, core::mono_time now)
{
    if (same_process(process, state.self))
    {
        return {};
    }
    if (is_replaced(state, process))
    {
        return "replaced by a new process";
    }
    if (is_proven_ended(state, process))
    {
        return "refuses connections";
    }
    return has_lost_lease(state, process, now) ? "lease expired" : std::string{};
}

std::string removal_reason(
    const roster_state& state, const model::member_record& process, core::mono_time now)
{
    if (same_process(process, state.self))
    {
        return state.leaving ? "leaves" : std::string{};
    }
    auto reason = termination_evidence(state, process, now);
    if (reason.empty() && is_unresponsive_to_majority(state, process, now))
    {
        reason = "unresponsive to a majority";
    }
    return reason;
}

} // namespace camphorhitch::membership
