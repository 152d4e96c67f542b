#include "entries.hpp"
#include "holder_internal.hpp"

#include <utility>

namespace camphorhitch::claims
{

namespace
{

using ports::claim_state;

claim_actions finish_after_copy(claim_table& table,
    const std::string& key,
    const key_record& record,
    const message_context& context)
{
    auto pending = make_pending_copy(table, copy_purpose::finish, context);
    pending.key = key;
    return copy_entry(table, std::move(pending), record, context);
}

/// Creates the record that the attempt's claim would have created if it had arrived before its
/// finish.
key_record& create_claimed_key(claim_slot& slot, const ports::claim_finish& finish)
{
    auto& record = slot.keys[finish.key];
    record.executor = finish.executor;
    record.attempt = finish.attempt;
    record.body_hash = finish.entry.body_hash;
    record.state = claim_state::claimed;
    return record;
}

claim_actions reply_to_finish(const message_context& context, bool accepted)
{
    return {reply_finish{context.ticket, ports::ack{accepted}}};
}

/// Releases a claim, but only the claim of the attempt that finishes. A slot that is not complete
/// could hold an old entry in the place of another attempt's newer claim, so there the release is
/// rejected and the executor has to repeat it later.
claim_actions release_key(
    claim_table& table, const ports::claim_finish& finish, const message_context& context)
{
    auto& slot = table.slots[context.slot];
    if (!is_active(table, context.slot))
    {
        return reply_to_finish(context, false);
    }
    auto* record = find_key(slot, table.settings, finish.key, context.now);
    if (record == nullptr)
    {
        // The claim may still be in flight. A stored release prevents that it is granted to an
        // attempt that has already been closed, which would block the key.
        if (!make_room(slot, table.settings, context.now))
        {
            return reply_to_finish(context, true);
        }
        record = &create_claimed_key(slot, finish);
    }
    if (!belongs_to(*record, finish.executor, finish.attempt))
    {
        return reply_to_finish(context, true);
    }
    if (record->state == claim_state::claimed)
    {
        record->state = claim_state::released;
        stamp_change(slot, *record, table.roster.epoch, context.now);
    }
    return finish_after_copy(table, finish.key, *record, context);
}

/// Records how an attempt ended. The fact that an attempt ran is true whatever this member has
/// stored, so it is recorded in a quarantined slot, too. An entry of another attempt is never
/// overwritten.
claim_actions record_end(
    claim_table& table, const ports::claim_finish& finish, const message_context& context)
{
    auto& slot = table.slots[context.slot];
    const bool active = is_active(table, context.slot);
    auto* record = find_key(slot, table.settings, finish.key, context.now);
    const bool own = record == nullptr || belongs_to(*record, finish.executor, finish.attempt);
    if (!own)
    {
        return reply_to_finish(context, active);
    }
    if (record == nullptr)
    {
        record = &create_claimed_key(slot, finish);
    }
    const bool is_progress =
        record->state == claim_state::claimed ||
        (record->state == claim_state::unknown && finish.entry.state == claim_state::done);
    if (is_progress)
    {
        record->state = finish.entry.state;
        store_answer(slot, table.settings, *record, finish.entry);
        stamp_change(slot, *record, table.roster.epoch, context.now);
    }
    if (!active)
    {
        return reply_to_finish(context, false);
    }
    return finish_after_copy(table, finish.key, *record, context);
}

} // namespace

claim_actions on_finish(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_finish& finish,
    core::mono_time now)
{
    const message_context context{ticket, membership::slot_of_key(finish.key), now};
    if (table.slots[context.slot].role != slot_role::first)
    {
        return reply_to_finish(context, false);
    }
    return finish.not_run ? release_key(table, finish, context)
                          : record_end(table, finish, context);
}

} // namespace camphorhitch::claims
