#include "world_parts.hpp"

namespace camphorhitch::claims::testing
{

void world::at_store(process& p, const std::function<void(store&)>& write)
{
    const auto started = bag_.now();
    const auto ticket = p.roster.read_ticket;
    const auto arrives = [this, &p, write, started, ticket]
    {
        store_view seen;
        if (store_.down_until <= bag_.now() && !bag_.is_cut_from_store(p.who.id))
        {
            store_.view(bag_.now());
            write(store_);
            seen = store_.view(bag_.now());
        }
        seen.ok = seen.ok && !(store_.forgets_until > bag_.now() && bag_.chance(50));
        bag_.at(
            seen.ok ? bag_.delay() : call_timeout,
            [this, &p, seen, started, ticket] { on_store_answer(p, seen, started, ticket); },
            &p.alive);
    };
    bag_.at(bag_.delay(), arrives);
}

void world::on_store_answer(
    process& p, const store_view& seen, mono_time started, std::uint64_t ticket)
{
    p.failed_reads = seen.ok ? 0 : p.failed_reads + 1;
    if (!seen.ok)
    {
        if (p.failed_reads > 2)
        {
            membership::on_store_lost(p.roster);
        }
        return;
    }
    if (seen.roster)
    {
        adopt(p, *seen.roster);
        membership::on_store_confirmed(p.freshness, seen.roster->epoch, started);
    }
    membership::on_roster(p.roster, seen.roster, seen.revision, bag_.now());
    membership::on_leased(p.roster, seen.leased, bag_.now());
    membership::on_reread(p.roster, ticket, bag_.now());
}

void world::read_store(process& p)
{
    const auto keep_alive = [who = p.who, until = bag_.now() + lease_ttl](store& s)
    {
        const auto it = s.leases.find(who.id);
        if (it != s.leases.end() && membership::same_process(it->second.first, who))
        {
            it->second.second = until;
        }
    };
    at_store(p, keep_alive);
}

void world::act(process& p, const membership::roster_action& action)
{
    if (const auto* it = std::get_if<membership::propose_roster>(&action))
    {
        at_store(p, [it = *it](store& s) { s.write(it.next, it.expected_revision); });
    }
    else if (std::holds_alternative<membership::register_self>(action))
    {
        const auto until = bag_.now() + lease_ttl;
        at_store(p, [who = p.who, until](store& s) { s.leases[who.id] = {who, until}; });
    }
    else
    {
        read_store(p);
    }
}

beat_message world::beat_of(const process& p, ports::epoch_number known)
{
    beat_message message;
    message.beat.member = p.who.id;
    message.beat.incarnation = p.who.incarnation;
    message.beat.epoch = p.freshness.epoch;
    message.beat.store_reachable = membership::is_store_reachable(p.freshness, bag_.now());
    message.beat.unresponsive_peers = membership::unresponsive_peers(p.roster, bag_.now());
    if (known < p.freshness.epoch)
    {
        message.roster = p.claims.roster;
    }
    return message;
}

void world::hear(process& p, const beat_message& message)
{
    const auto& beat = message.beat;
    const member_record who{beat.member, beat.incarnation, {}, {}};
    membership::on_epoch_heard(p.freshness, beat.epoch);
    membership::on_heard(p.roster, who, beat.unresponsive_peers, bag_.now());
    if (message.roster)
    {
        adopt(p, *message.roster);
    }
}

void world::send_beat(process& p, const member_record& peer)
{
    const auto message = beat_of(p, p.freshness.epoch - 1);
    const auto serve = [this, message](process& callee, const auto& reply)
    {
        hear(callee, message);
        reply(beat_of(callee, message.beat.epoch));
    };
    const auto done = [this, &p, peer, started = bag_.now()](
                          peer_status status, const beat_message& reply)
    {
        if (status == peer_status::refused)
        {
            membership::on_refused(p.roster, peer, bag_.now());
        }
        if (status == peer_status::ok)
        {
            hear(p, reply);
            membership::on_peer_confirmed(p.freshness, reply.beat, started);
        }
    };
    call<beat_message>(p, peer, serve, done);
}

void world::send_beats(process& p)
{
    auto peers = p.roster.leased;
    for (const auto& it : p.claims.roster.members)
    {
        if (membership::find_member(peers, it.id) == nullptr)
        {
            peers.push_back(it);
        }
    }
    std::erase_if(peers, [&](const auto& it) { return it.id == p.who.id; });
    for (const auto& it : peers)
    {
        send_beat(p, it);
    }
}

void world::adopt(process& p, const roster_document& roster)
{
    membership::on_roster_adopted(p.freshness, roster);
    act(p, claims::on_roster(p.claims, roster, bag_.now()));
}

void world::tick(process& p)
{
    const auto now = bag_.now();
    for (const auto& it : membership::on_tick(p.roster, bag_.draw(1000) / 1000.0, now))
    {
        act(p, it);
    }
    if (++p.ticks % beat_every_ == 0)
    {
        send_beats(p);
    }
    if (p.ticks % read_every_ == 0)
    {
        read_store(p);
    }
    act(p, claims::on_tick(p.claims, now));
    const bool is_in = membership::contains_process(p.claims.roster.members, p.who);
    if (p.leave_by && ((!is_in && is_handed_over(p.claims)) || now > *p.leave_by))
    {
        store_.leases.erase(p.who.id);
        kill(p);
    }
    bag_.at(
        tick_interval, [this, &p] { tick(p); }, &p.alive);
}

bool world::is_fresh(const process& p) const
{
    return membership::is_fresh(p.freshness, bag_.now());
}

} // namespace camphorhitch::claims::testing
