#include "simulation_internal.hpp"

namespace camphorhitch::claims::testing
{

void simulation::call_store(process& p, const std::function<void(store&)>& write)
{
    const auto started = network_.now();
    const auto ticket = p.roster.read_ticket;
    const auto arrives = [this, &p, write, started, ticket]
    {
        store_view seen;
        if (store_.down_until <= network_.now() && !network_.is_cut_from_store(p.self.id))
        {
            store_.view(network_.now());
            write(store_);
            seen = store_.view(network_.now());
        }
        seen.ok = seen.ok && !(store_.loses_answers_until > network_.now() && network_.chance(50));
        network_.schedule(
            seen.ok ? network_.delay() : call_timeout,
            [this, &p, seen, started, ticket] { on_store_answer(p, seen, started, ticket); },
            &p.condition);
    };
    network_.schedule(network_.delay(), arrives);
}

void simulation::on_store_answer(
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
    membership::on_roster(p.roster, seen.roster, seen.revision, network_.now());
    membership::on_leased(p.roster, seen.leased, network_.now());
    membership::on_reread(p.roster, ticket, network_.now());
}

void simulation::read_store(process& p)
{
    const auto keep_alive = [self = p.self, until = network_.now() + lease_ttl](store& s)
    {
        const auto it = s.leases.find(self.id);
        if (it != s.leases.end() && membership::same_process(it->second.first, self))
        {
            it->second.second = until;
        }
    };
    call_store(p, keep_alive);
}

void simulation::execute(process& p, const membership::roster_action& action)
{
    if (const auto* it = std::get_if<membership::propose_roster>(&action))
    {
        call_store(p, [it = *it](store& s) { s.write(it.next, it.expected_revision); });
    }
    else if (std::holds_alternative<membership::register_self>(action))
    {
        const auto until = network_.now() + lease_ttl;
        call_store(p, [self = p.self, until](store& s) { s.leases[self.id] = {self, until}; });
    }
    else
    {
        read_store(p);
    }
}

beat_message simulation::make_beat(const process& p, ports::epoch_number known_epoch)
{
    beat_message message;
    message.beat.member = p.self.id;
    message.beat.incarnation = p.self.incarnation;
    message.beat.epoch = p.freshness.epoch;
    message.beat.store_reachable = membership::is_store_reachable(p.freshness, network_.now());
    message.beat.unresponsive_peers = membership::unresponsive_peers(p.roster, network_.now());
    if (known_epoch < p.freshness.epoch)
    {
        message.roster = p.claims.roster;
    }
    return message;
}

void simulation::apply_beat(process& p, const beat_message& message)
{
    const auto& beat = message.beat;
    const member_record sender{beat.member, beat.incarnation, {}, {}};
    membership::on_epoch_heard(p.freshness, beat.epoch);
    membership::on_heard(p.roster, sender, beat.unresponsive_peers, network_.now());
    if (message.roster)
    {
        adopt(p, *message.roster);
    }
}

void simulation::send_beat(process& p, const member_record& peer)
{
    const auto message = make_beat(p, p.freshness.epoch - 1);
    const auto serve = [this, message](process& callee, const auto& reply)
    {
        apply_beat(callee, message);
        reply(make_beat(callee, message.beat.epoch));
    };
    const auto done = [this, &p, peer, started = network_.now()](
                          peer_status status, const beat_message& reply)
    {
        if (status == peer_status::refused)
        {
            membership::on_refused(p.roster, peer, network_.now());
        }
        if (status == peer_status::ok)
        {
            apply_beat(p, reply);
            membership::on_peer_confirmed(p.freshness, reply.beat, started);
        }
    };
    call<beat_message>(p, peer, serve, done);
}

void simulation::send_beats(process& p)
{
    auto peers = p.roster.leased;
    for (const auto& it : p.claims.roster.members)
    {
        if (membership::find_member(peers, it.id) == nullptr)
        {
            peers.push_back(it);
        }
    }
    std::erase_if(peers, [&](const auto& it) { return it.id == p.self.id; });
    for (const auto& it : peers)
    {
        send_beat(p, it);
    }
}

void simulation::adopt(process& p, const roster_document& roster)
{
    membership::on_roster_adopted(p.freshness, roster);
    execute(p, claims::on_roster(p.claims, roster, network_.now()));
}

void simulation::tick(process& p)
{
    const auto now = network_.now();
    for (const auto& it : membership::on_tick(p.roster, network_.random_below(1000) / 1000.0, now))
    {
        execute(p, it);
    }
    if (++p.ticks % beat_interval_ticks_ == 0)
    {
        send_beats(p);
    }
    if (p.ticks % read_interval_ticks_ == 0)
    {
        read_store(p);
    }
    execute(p, claims::on_tick(p.claims, now));
    const bool in_roster = membership::contains_process(p.claims.roster.members, p.self);
    if (p.leave_deadline && ((!in_roster && is_handed_over(p.claims)) || now > *p.leave_deadline))
    {
        store_.leases.erase(p.self.id);
        kill(p);
    }
    network_.schedule(
        tick_interval, [this, &p] { tick(p); }, &p.condition);
}

bool simulation::is_fresh(const process& p) const
{
    return membership::is_fresh(p.freshness, network_.now());
}

} // namespace camphorhitch::claims::testing
