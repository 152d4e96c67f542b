#include "entries.hpp"
#include "holder_parts.hpp"

#include <utility>

namespace camphorhitch::claims
{

namespace
{

using ports::claim_state;

claim_actions finish_after_copy(claim_table& table,
    const std::string& key,
    const remembered_key& known,
    const claim_context& at)
{
    auto pending = pending_for(table, copy_purpose::finish, at);
    pending.key = key;
    return copy_entry(table, std::move(pending), known, at);
}

/// As if the attempt's claim had come before its end.
remembered_key& begin_key(claim_slot& slot, const ports::claim_finish& finish)
{
    auto& known = slot.keys[finish.key];
    known.executor = finish.executor;
    known.attempt = finish.attempt;
    known.body_hash = finish.entry.body_hash;
    known.state = claim_state::claimed;
    return known;
}

claim_actions accept_finish(const claim_context& at, bool accepted)
{
    return {reply_finish{at.ticket, ports::ack{accepted}}};
}

/// Releases a claim, and only that attempt's own. A slot that is not whole could hold an old entry
/// where another attempt's newer claim belongs, so there the executor has to ask again later.
claim_actions release(
    claim_table& table, const ports::claim_finish& finish, const claim_context& at)
{
    auto& slot = table.slots[at.slot];
    if (!is_active(table, at.slot))
    {
        return accept_finish(at, false);
    }
    auto* known = find_live(slot, table.settings, finish.key, at.now);
    if (known == nullptr)
    {
        // The claim may still be on its way; remembering the release keeps it from being granted to
        // an attempt that nobody waits for, which would block the key.
        if (!make_room(slot, table.settings, at.now))
        {
            return accept_finish(at, true);
        }
        known = &begin_key(slot, finish);
    }
    if (!is_of(*known, finish.executor, finish.attempt))
    {
        return accept_finish(at, true);
    }
    if (known->state == claim_state::claimed)
    {
        known->state = claim_state::released;
        stamp(slot, *known, table.roster.epoch, at.now);
    }
    return finish_after_copy(table, finish.key, *known, at);
}

/// Remembers how an attempt ended. That an attempt ran is true whatever is known here, so it is
/// remembered in a quarantined slot, too; only another attempt's entry is never overwritten.
claim_actions remember_end(
    claim_table& table, const ports::claim_finish& finish, const claim_context& at)
{
    auto& slot = table.slots[at.slot];
    const bool active = is_active(table, at.slot);
    auto* known = find_live(slot, table.settings, finish.key, at.now);
    const bool own = known == nullptr || is_of(*known, finish.executor, finish.attempt);
    if (!own)
    {
        return accept_finish(at, active);
    }
    if (known == nullptr)
    {
        known = &begin_key(slot, finish);
    }
    const bool improves =
        known->state == claim_state::claimed ||
        (known->state == claim_state::unknown && finish.entry.state == claim_state::done);
    if (improves)
    {
        known->state = finish.entry.state;
        keep_answer(slot, table.settings, *known, finish.entry);
        stamp(slot, *known, table.roster.epoch, at.now);
    }
    if (!active)
    {
        return accept_finish(at, false);
    }
    return finish_after_copy(table, finish.key, *known, at);
}

} // namespace

claim_actions on_finish(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_finish& finish,
    core::mono_time now)
{
    const claim_context at{ticket, membership::slot_of_key(finish.key), now};
    if (table.slots[at.slot].role != slot_role::first)
    {
        return accept_finish(at, false);
    }
    return finish.not_run ? release(table, finish, at) : remember_end(table, finish, at);
}

} // namespace camphorhitch::claims
