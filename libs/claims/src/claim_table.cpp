#include "entries.hpp"
#include "holder_internal.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorhitch::claims
{

namespace
{

using ports::claim_state;
using ports::claim_verdict;

claim_slot& slot_for(claim_table& table, const std::string& key)
{
    return table.slots[membership::slot_of_key(key)];
}

claim_actions reply(std::uint64_t ticket, claim_verdict verdict, core::millis retry_after = {})
{
    ports::claim_reply answer;
    answer.verdict = verdict;
    answer.retry_after = retry_after;
    return {reply_claim{ticket, std::move(answer)}};
}

bool is_in_roster(const claim_table& table, const std::string& executor)
{
    for (const auto& it : table.roster.members)
    {
        if (membership::process_name(it) == executor)
        {
            return true;
        }
    }
    return false;
}

/// A claim whose executor has left the roster, or that is older than any request can be, will not
/// get an answer any more, so callers get "unknown". The stored entry stays a claim, so that a late
/// finish of the attempt still counts.
claim_actions reply_known(const claim_table& table,
    const message_context& context,
    const std::string& key,
    const key_record& record)
{
    ports::claim_reply answer;
    answer.verdict = claim_verdict::known;
    answer.entry = to_wire(key, record, context.now);
    if (record.state == claim_state::claimed)
    {
        const bool running = is_in_roster(table, record.executor) &&
                             context.now - record.changed_at < table.settings.max_request_time;
        answer.entry.state = running ? claim_state::claimed : claim_state::unknown;
        answer.retry_after = running ? table.settings.running_retry_delay : core::millis{0};
    }
    return {reply_claim{context.ticket, std::move(answer)}};
}

/// Callers get the duration of a quarantine only when no former holder is expected to end it
/// earlier.
claim_actions reply_not_active(const claim_table& table, const message_context& context)
{
    const auto& slot = table.slots[context.slot];
    const bool before_pull_timeout = context.now - table.adopted_at < table.settings.pull_timeout;
    if (before_pull_timeout && !slot.no_holder_left)
    {
        return reply(
            context.ticket, claim_verdict::not_ready, table.settings.not_ready_retry_delay);
    }
    const auto left = std::chrono::ceil<core::millis>(slot.quarantine_until - context.now);
    return reply(context.ticket,
        claim_verdict::quarantined,
        std::max(left, table.settings.not_ready_retry_delay));
}

claim_actions answer_after_copy(claim_table& table, const pending_copy& pending, bool fresh);

/// Sends the entry to the second holder, or answers at once when there is none. Statements that
/// require freshness reach this function only while the process is fresh.
claim_actions send_copy_or_answer(
    claim_table& table, pending_copy pending, ports::claim_entry entry)
{
    const auto& slot = table.slots[pending.slot];
    if (!slot.other_holder)
    {
        return answer_after_copy(table, pending, true);
    }
    send_copy action;
    action.number = ++table.last_copy;
    action.to = *slot.other_holder;
    action.copy.epoch = pending.epoch;
    action.copy.slot = pending.slot;
    action.copy.entry = std::move(entry);
    table.pending_copies.emplace(action.number, std::move(pending));
    return {std::move(action)};
}

claim_actions grant_after_copy(claim_table& table,
    const ports::claim_request& request,
    const key_record& record,
    const message_context& context)
{
    auto pending = make_pending_copy(table, copy_purpose::grant, context);
    pending.key = request.key;
    pending.executor = request.executor;
    pending.attempt = request.attempt;
    return copy_entry(table, std::move(pending), record, context);
}

/// A first holder that was replaced and has not learnt it yet may lack entries that its successors
/// granted. The second holder's acknowledgement under the same epoch shows that there is no
/// successor yet.
claim_actions refuse_after_confirmation(
    claim_table& table, copy_purpose purpose, const message_context& context)
{
    return send_copy_or_answer(table, make_pending_copy(table, purpose, context), {});
}

key_record& claim_key(
    claim_table& table, claim_slot& slot, const ports::claim_request& request, core::mono_time now)
{
    auto& record = slot.keys[request.key];
    core::require(record.epoch == 0 || record.state == claim_state::released,
        "only a key without an active attempt may be claimed",
        request.key);
    record.body_hash = request.body_hash;
    record.executor = request.executor;
    record.attempt = request.attempt;
    record.state = claim_state::claimed;
    stamp_change(slot, record, table.roster.epoch, now);
    return record;
}

claim_actions decide_existing_key(claim_table& table,
    const ports::claim_request& request,
    key_record& record,
    const message_context& context,
    bool may_grant)
{
    const bool same_body = record.body_hash == request.body_hash;
    if (!same_body && may_grant)
    {
        return refuse_after_confirmation(table, copy_purpose::refuse_other_body, context);
    }
    const bool own_claim = record.state == claim_state::claimed &&
                           belongs_to(record, request.executor, request.attempt);
    if (same_body && !own_claim)
    {
        return reply_known(table, context, request.key, record);
    }
    if (!may_grant)
    {
        return is_active(table, context.slot) ? reply(context.ticket,
                                                    claim_verdict::not_ready,
                                                    table.settings.not_ready_retry_delay)
                                              : reply_not_active(table, context);
    }
    // The attempt may use this grant for as long as a first grant, so the entry is kept from now
    // on.
    stamp_change(table.slots[context.slot], record, table.roster.epoch, context.now);
    return grant_after_copy(table, request, record, context);
}

/// \return whether \p pending still matches the state of the table. The check of the epoch is a
/// second safeguard: a member that is complete in a newer epoch has handed the entry on, but a
/// grant should not depend on that argument.
bool is_still_valid(const claim_table& table, const pending_copy& pending)
{
    return pending.epoch == table.roster.epoch && is_active(table, pending.slot) &&
           table.slots[pending.slot].role == slot_role::first;
}

claim_actions answer_grant(claim_table& table, const pending_copy& pending)
{
    const auto& slot = table.slots[pending.slot];
    const auto it = slot.keys.find(pending.key);
    const bool is_claimed = it != slot.keys.end() && it->second.state == claim_state::claimed &&
                            belongs_to(it->second, pending.executor, pending.attempt);
    return reply(pending.ticket, is_claimed ? claim_verdict::granted : claim_verdict::not_ready);
}

claim_actions answer_after_copy(claim_table& table, const pending_copy& pending, bool fresh)
{
    const bool valid = is_still_valid(table, pending);
    if (pending.purpose == copy_purpose::finish)
    {
        return {reply_finish{pending.ticket, ports::ack{valid}}};
    }
    if (!valid || !fresh)
    {
        const bool superseded = pending.epoch != table.roster.epoch;
        return reply(pending.ticket,
            superseded ? claim_verdict::wrong_epoch : claim_verdict::not_ready,
            table.settings.not_ready_retry_delay);
    }
    switch (pending.purpose)
    {
    case copy_purpose::grant:
        return answer_grant(table, pending);
    case copy_purpose::refuse_full:
        return reply(pending.ticket, claim_verdict::full, table.settings.full_retry_delay);
    default:
        return reply(pending.ticket, claim_verdict::other_body);
    }
}

} // namespace

bool belongs_to(const key_record& record, const std::string& executor, std::uint64_t attempt)
{
    return record.executor == executor && record.attempt == attempt;
}

pending_copy make_pending_copy(
    const claim_table& table, copy_purpose purpose, const message_context& context)
{
    pending_copy pending;
    pending.purpose = purpose;
    pending.epoch = table.roster.epoch;
    pending.slot = context.slot;
    pending.ticket = context.ticket;
    return pending;
}

claim_actions copy_entry(claim_table& table,
    pending_copy pending,
    const key_record& record,
    const message_context& context)
{
    auto entry = to_wire(pending.key, record, context.now);
    return send_copy_or_answer(table, std::move(pending), std::move(entry));
}

claim_actions on_claim(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_request& request,
    bool fresh,
    core::mono_time now)
{
    const message_context context{ticket, membership::slot_of_key(request.key), now};
    auto& slot = slot_for(table, request.key);
    if (request.epoch != table.roster.epoch || slot.role != slot_role::first)
    {
        return reply(ticket, claim_verdict::wrong_epoch, table.settings.not_ready_retry_delay);
    }
    const bool active = is_active(table, context.slot);
    const bool may_grant = active && fresh;
    auto* record = find_key(slot, table.settings, request.key, now);
    const bool is_free =
        record == nullptr || (record->state == claim_state::released &&
                                 !belongs_to(*record, request.executor, request.attempt));
    if (!is_free)
    {
        return decide_existing_key(table, request, *record, context, may_grant);
    }
    if (!active)
    {
        return reply_not_active(table, context);
    }
    if (!fresh)
    {
        return reply(ticket, claim_verdict::not_ready, table.settings.not_ready_retry_delay);
    }
    if (record == nullptr && !make_room(slot, table.settings, now))
    {
        return refuse_after_confirmation(table, copy_purpose::refuse_full, context);
    }
    return grant_after_copy(table, request, claim_key(table, slot, request, now), context);
}

claim_actions on_copy_result(claim_table& table,
    std::uint64_t number,
    ports::peer_status status,
    const ports::ack& ack,
    bool fresh)
{
    const auto it = table.pending_copies.find(number);
    if (it == table.pending_copies.end())
    {
        return {};
    }
    const auto pending = std::move(it->second);
    table.pending_copies.erase(it);
    if (status == ports::peer_status::ok && ack.accepted)
    {
        if (pending.epoch == table.roster.epoch)
        {
            table.slots[pending.slot].other_complete_through = pending.epoch;
        }
        return answer_after_copy(table, pending, fresh);
    }
    if (pending.purpose == copy_purpose::finish)
    {
        return {reply_finish{pending.ticket, ports::ack{false}}};
    }
    return reply(pending.ticket, claim_verdict::not_ready, table.settings.not_ready_retry_delay);
}

ports::ack on_copy(claim_table& table, const ports::claim_copy& copy, core::mono_time now)
{
    if (copy.slot >= table.slots.size())
    {
        return {false};
    }
    auto& slot = table.slots[copy.slot];
    const bool valid =
        copy.epoch == table.roster.epoch && is_active(table, copy.slot) &&
        slot.role == slot_role::second &&
        (copy.entry.key.empty() || membership::slot_of_key(copy.entry.key) == copy.slot);
    if (!valid)
    {
        return {false};
    }
    slot.other_complete_through = copy.epoch;
    if (!copy.entry.key.empty())
    {
        merge_entry(slot, table.settings, copy.entry, now);
    }
    return {true};
}

} // namespace camphorhitch::claims
