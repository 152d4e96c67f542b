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
    return state.store_started && state.store_epoch == state.epoch &&
           within(*state.store_started, state.settings.freshness, now);
}

/// The store is out of everybody's reach, as far as a majority can tell. A peer that reaches it
/// shows that only we are cut off; then the others may have gone on to a newer epoch without us.
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
    if (epoch < state.store_epoch || (state.store_started && started < *state.store_started))
    {
        return;
    }
    state.store_epoch = epoch;
    state.store_started = started;
}

void on_peer_confirmed(
    freshness_state& state, const ports::heartbeat& answer, core::mono_time started)
{
    on_epoch_heard(state, answer.epoch);
    if (answer.member == state.self.id)
    {
        return;
    }
    const peer_confirmation news{
        answer.member, answer.incarnation, started, answer.epoch, answer.store_reachable};
    for (auto& it : state.peers)
    {
        if (it.id == answer.member)
        {
            it = it.started <= started ? news : it;
            return;
        }
    }
    state.peers.push_back(news);
}

void on_epoch_heard(freshness_state& state, ports::epoch_number epoch)
{
    state.newest_known = std::max(state.newest_known, epoch);
}

bool is_store_reachable(const freshness_state& state, core::mono_time now)
{
    return state.store_started && within(*state.store_started, state.settings.store_window, now);
}

bool is_fresh(const freshness_state& state, core::mono_time now)
{
    if (state.newest_known > state.epoch || !contains_process(state.members, state.self))
    {
        return false;
    }
    if (confirmed_by_store(state, now))
    {
        return true;
    }
    // Without this bound two halves of a broken network could confirm themselves for ever; with it,
    // who takes over has only to wait.
    if (!state.store_started || !within(*state.store_started, state.settings.outage_grace, now))
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
