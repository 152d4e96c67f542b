#include "roster_evidence.hpp"

#include "membership/freshness.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::membership
{

namespace
{

bool is_replaced(const roster_state& state, const model::member_record& who)
{
    const auto* leased = find_member(state.leased, who.id);
    return leased != nullptr && !same_process(*leased, who);
}

/// After an outage of the store all leases may have lapsed at once; their holders need a moment to
/// register again, and until then a missing lease proves nothing.
bool is_lease_gone(const roster_state& state, const model::member_record& who, core::mono_time now)
{
    const auto it = std::find_if(state.missing.begin(),
        state.missing.end(),
        [&](const auto& m) { return same_process(m.who, who); });
    return it != state.missing.end() && now - it->since >= state.settings.lease_grace &&
           now - state.store_back >= state.settings.store_settle;
}

} // namespace

const member_list& members_of(const roster_state& state)
{
    static const member_list none;
    return state.current ? state.current->members : none;
}

const peer_evidence* find_evidence(const roster_state& state, const model::member_record& who)
{
    const auto it = std::find_if(state.peers.begin(),
        state.peers.end(),
        [&](const auto& p) { return same_process(p.who, who); });
    return it == state.peers.end() ? nullptr : &*it;
}

peer_evidence& evidence_of(
    roster_state& state, const model::member_record& who, core::mono_time now)
{
    for (auto& it : state.peers)
    {
        if (same_process(it.who, who))
        {
            return it;
        }
    }
    peer_evidence fresh;
    fresh.who = who;
    fresh.heard = now;
    fresh.heard_since = now;
    state.peers.push_back(std::move(fresh));
    return state.peers.back();
}

bool is_known(const roster_state& state, const model::member_record& who)
{
    return contains_process(members_of(state), who) || contains_process(state.leased, who);
}

void track_peers(roster_state& state, core::mono_time now)
{
    std::erase_if(state.peers, [&](const auto& p) { return !is_known(state, p.who); });
    for (const auto& it : members_of(state))
    {
        evidence_of(state, it, now);
    }
    for (const auto& it : state.leased)
    {
        evidence_of(state, it, now);
    }
}

void track_leases(roster_state& state, core::mono_time now)
{
    std::vector<missing_lease> missing;
    for (const auto& it : members_of(state))
    {
        if (contains_process(state.leased, it))
        {
            continue;
        }
        const auto before = std::find_if(state.missing.begin(),
            state.missing.end(),
            [&](const auto& m) { return same_process(m.who, it); });
        missing.push_back({it, before == state.missing.end() ? now : before->since});
    }
    state.missing = std::move(missing);
}

bool is_silent(const roster_state& state, const model::member_record& who, core::mono_time now)
{
    const auto* evidence = find_evidence(state, who);
    return evidence != nullptr && now - evidence->heard > state.settings.silence_limit;
}

bool is_gone(const roster_state& state, const model::member_record& who)
{
    const auto* evidence = find_evidence(state, who);
    return evidence != nullptr && evidence->refused >= state.settings.refused_limit;
}

bool is_silent_to_majority(
    const roster_state& state, const model::member_record& who, core::mono_time now)
{
    std::size_t votes = is_silent(state, who, now) ? 1 : 0;
    for (const auto& member : members_of(state))
    {
        const auto* peer = find_evidence(state, member);
        if (peer == nullptr || same_process(member, state.self) || is_silent(state, member, now))
        {
            continue;
        }
        const auto& silent = peer->silent_peers;
        votes += std::find(silent.begin(), silent.end(), who.id) != silent.end() ? 1 : 0;
    }
    return votes >= majority_of(members_of(state).size());
}

std::string why_dead(
    const roster_state& state, const model::member_record& who, core::mono_time now)
{
    if (same_process(who, state.self))
    {
        return {};
    }
    if (is_replaced(state, who))
    {
        return "replaced by a new process";
    }
    if (is_gone(state, who))
    {
        return "refuses connections";
    }
    return is_lease_gone(state, who, now) ? "lease gone" : std::string{};
}

std::string why_remove(
    const roster_state& state, const model::member_record& who, core::mono_time now)
{
    if (same_process(who, state.self))
    {
        return state.leaving ? "leaves" : std::string{};
    }
    auto reason = why_dead(state, who, now);
    if (reason.empty() && is_silent_to_majority(state, who, now))
    {
        reason = "silent to a majority";
    }
    return reason;
}

} // namespace camphorhitch::membership
