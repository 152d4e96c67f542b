#include "membership/freshness.hpp"

#include <algorithm>

namespace camphorhitch::membership
{

namespace
{

bool within(core::mono_time started, core::millis limit, core::mono_time now)
{
    return now - started < limit;
}

const peer_confirmation* confirmation_of(
    const freshness_state& state, const model::member_record& member)
{
    const auto it = std::find_if(state.peers.begin(),
        state.peers.end(),
        [&](const auto& p) { return p.id == member.id && p.incarnation == member.incarnation; });
    return it == state.peers.end() ? nullptr : &*it;
}

bool confirmed_by_store(const freshness_state& state, core::mono_time now)
{
    return state.store_read_started && state.store_epoch == state.epoch &&
           within(*state.store_read_started, state.settings.freshness, now);
}

/// \return whether a majority confirms the epoch and, as far as the majority can tell, no member
///   reaches the store. A peer that reaches the store shows that only this member is cut off from
///   the store; the other members may then have adopted a newer epoch without this member.
bool confirmed_by_peers(const freshness_state& state, core::mono_time now)
{
    std::size_t confirmed = 1;
    for (const auto& it : state.members)
    {
        const auto* peer = confirmation_of(state, it);
        if (peer == nullptr || !within(peer->started, state.settings.freshness, now))
        {
            continue;
        }
        if (peer->store_reachable)
        {
            return false;
        }
        confirmed += peer->epoch == state.epoch ? 1 : 0;
    }
    return confirmed >= majority_of(state.members.size());
}

} // namespace

void on_roster_adopted(freshness_state& state, const model::roster_document& roster)
{
    if (roster.epoch <= state.epoch)
    {
        return;
    }
    state.epoch = roster.epoch;
    state.members = roster.members;
    on_epoch_heard(state, roster.epoch);
    std::erase_if(state.peers,
        [&](const auto& p) {
            return !contains_process(state.members, {p.id, p.incarnation, {}, {}});
        });
}

void on_store_confirmed(freshness_state& state, ports::epoch_number epoch, core::mono_time started)
{
    on_epoch_heard(state, epoch);
    if (epoch < state.store_epoch ||
        (state.store_read_started && started < *state.store_read_started))
    {
        return;
    }
    state.store_epoch = epoch;
    state.store_read_started = started;
}

void on_peer_confirmed(
    freshness_state& state, const ports::heartbeat& answer, core::mono_time started)
{
    on_epoch_heard(state, answer.epoch);
    if (answer.member == state.self.id)
    {
        return;
    }
    const peer_confirmation confirmation{
        answer.member, answer.incarnation, started, answer.epoch, answer.store_reachable};
    for (auto& it : state.peers)
    {
        if (it.id == answer.member)
        {
            it = it.started <= started ? confirmation : it;
            return;
        }
    }
    state.peers.push_back(confirmation);
}

void on_epoch_heard(freshness_state& state, ports::epoch_number epoch)
{
    state.newest_known_epoch = std::max(state.newest_known_epoch, epoch);
}

bool is_store_reachable(const freshness_state& state, core::mono_time now)
{
    return state.store_read_started &&
           within(*state.store_read_started, state.settings.store_window, now);
}

bool is_fresh(const freshness_state& state, core::mono_time now)
{
    if (state.newest_known_epoch > state.epoch || !contains_process(state.members, state.self))
    {
        return false;
    }
    if (confirmed_by_store(state, now))
    {
        return true;
    }
    // Without this bound, two halves of a partitioned network could confirm themselves for ever.
    // With it, a member that takes over only has to wait.
    if (!state.store_read_started ||
        !within(*state.store_read_started, state.settings.outage_grace, now))
    {
        return false;
    }
    return confirmed_by_peers(state, now);
}

std::size_t majority_of(std::size_t size)
{
    return size / 2 + 1;
}

} // namespace camphorhitch::membership
