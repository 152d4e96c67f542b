#include "entries.hpp"
#include "holder_parts.hpp"

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

/// A claim whose executor has left, or that is older than any request, will not be answered any
/// more: callers are told "unknown". The entry itself stays a claim, so that news of it can still
/// count.
claim_actions reply_known(const claim_table& table,
    const claim_context& at,
    const std::string& key,
    const remembered_key& known)
{
    ports::claim_reply answer;
    answer.verdict = claim_verdict::known;
    answer.entry = to_wire(key, known, at.now);
    if (known.state == claim_state::claimed)
    {
        const bool running = is_in_roster(table, known.executor) &&
                             at.now - known.changed < table.settings.longest_request;
        answer.entry.state = running ? claim_state::claimed : claim_state::unknown;
        answer.retry_after = running ? table.settings.retry_running : core::millis{0};
    }
    return {reply_claim{at.ticket, std::move(answer)}};
}

/// Callers are told how long a quarantine lasts only once nobody is expected to end it earlier.
claim_actions reply_not_active(const claim_table& table, const claim_context& at)
{
    const auto& slot = table.slots[at.slot];
    const bool patient = at.now - table.adopted_at < table.settings.pull_patience;
    if (patient && !slot.nobody_left)
    {
        return reply(at.ticket, claim_verdict::not_ready, table.settings.retry_soon);
    }
    const auto left = std::chrono::ceil<core::millis>(slot.quarantine_until - at.now);
    return reply(at.ticket, claim_verdict::quarantined, std::max(left, table.settings.retry_soon));
}

claim_actions conclude(claim_table& table, const pending_copy& pending, bool fresh);

/// Sends the entry to the second holder, or concludes at once when there is none. Statements that
/// need freshness come here only when the process is fresh.
claim_actions copy_first(claim_table& table, pending_copy pending, ports::claim_entry entry)
{
    const auto& slot = table.slots[pending.slot];
    if (!slot.other)
    {
        return conclude(table, pending, true);
    }
    send_copy action;
    action.number = ++table.last_copy;
    action.to = *slot.other;
    action.copy.epoch = pending.epoch;
    action.copy.slot = pending.slot;
    action.copy.entry = std::move(entry);
    table.pending.emplace(action.number, std::move(pending));
    return {std::move(action)};
}

claim_actions grant_after_copy(claim_table& table,
    const ports::claim_request& request,
    const remembered_key& known,
    const claim_context& at)
{
    auto pending = pending_for(table, copy_purpose::grant, at);
    pending.key = request.key;
    pending.executor = request.executor;
    pending.attempt = request.attempt;
    return copy_entry(table, std::move(pending), known, at);
}

/// A first holder that has been replaced without knowing it yet may lack what its successors
/// granted. The second's acknowledgement under the same epoch shows that there is no successor yet.
claim_actions refuse_after_confirmation(
    claim_table& table, copy_purpose purpose, const claim_context& at)
{
    return copy_first(table, pending_for(table, purpose, at), {});
}

remembered_key& claim_key(
    claim_table& table, claim_slot& slot, const ports::claim_request& request, core::mono_time now)
{
    auto& known = slot.keys[request.key];
    core::require(known.epoch == 0 || known.state == claim_state::released,
        "only a key without an attempt is claimed",
        request.key);
    known.body_hash = request.body_hash;
    known.executor = request.executor;
    known.attempt = request.attempt;
    known.state = claim_state::claimed;
    stamp(slot, known, table.roster.epoch, now);
    return known;
}

claim_actions decide_known(claim_table& table,
    const ports::claim_request& request,
    remembered_key& known,
    const claim_context& at,
    bool may_grant)
{
    const bool same_body = known.body_hash == request.body_hash;
    if (!same_body && may_grant)
    {
        return refuse_after_confirmation(table, copy_purpose::refuse_other_body, at);
    }
    const bool own_claim =
        known.state == claim_state::claimed && is_of(known, request.executor, request.attempt);
    if (same_body && !own_claim)
    {
        return reply_known(table, at, request.key, known);
    }
    if (!may_grant)
    {
        return is_active(table, at.slot)
                   ? reply(at.ticket, claim_verdict::not_ready, table.settings.retry_soon)
                   : reply_not_active(table, at);
    }
    // The attempt may use this grant as long as a first one, so it is remembered as long from now.
    stamp(table.slots[at.slot], known, table.roster.epoch, at.now);
    return grant_after_copy(table, request, known, at);
}

/// Whether \p pending still describes what stands in the table. The epoch is a second line: who is
/// whole in a newer one has handed the entry on, but a grant should not need that to be argued.
bool still_stands(const claim_table& table, const pending_copy& pending)
{
    return pending.epoch == table.roster.epoch && is_active(table, pending.slot) &&
           table.slots[pending.slot].role == slot_role::first;
}

claim_actions conclude_grant(claim_table& table, const pending_copy& pending)
{
    const auto& slot = table.slots[pending.slot];
    const auto it = slot.keys.find(pending.key);
    const bool is_claimed = it != slot.keys.end() && it->second.state == claim_state::claimed &&
                            is_of(it->second, pending.executor, pending.attempt);
    return reply(pending.ticket, is_claimed ? claim_verdict::granted : claim_verdict::not_ready);
}

claim_actions conclude(claim_table& table, const pending_copy& pending, bool fresh)
{
    const bool stands = still_stands(table, pending);
    if (pending.purpose == copy_purpose::finish)
    {
        return {reply_finish{pending.ticket, ports::ack{stands}}};
    }
    if (!stands || !fresh)
    {
        const bool superseded = pending.epoch != table.roster.epoch;
        return reply(pending.ticket,
            superseded ? claim_verdict::wrong_epoch : claim_verdict::not_ready,
            table.settings.retry_soon);
    }
    switch (pending.purpose)
    {
    case copy_purpose::grant:
        return conclude_grant(table, pending);
    case copy_purpose::refuse_full:
        return reply(pending.ticket, claim_verdict::full, table.settings.retry_full);
    default:
        return reply(pending.ticket, claim_verdict::other_body);
    }
}

} // namespace

bool is_of(const remembered_key& known, const std::string& executor, std::uint64_t attempt)
{
    return known.executor == executor && known.attempt == attempt;
}

pending_copy pending_for(const claim_table& table, copy_purpose purpose, const claim_context& at)
{
    pending_copy pending;
    pending.purpose = purpose;
    pending.epoch = table.roster.epoch;
    pending.slot = at.slot;
    pending.ticket = at.ticket;
    return pending;
}

claim_actions copy_entry(
    claim_table& table, pending_copy pending, const remembered_key& known, const claim_context& at)
{
    auto entry = to_wire(pending.key, known, at.now);
    return copy_first(table, std::move(pending), std::move(entry));
}

claim_actions on_claim(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_request& request,
    bool fresh,
    core::mono_time now)
{
    const claim_context at{ticket, membership::slot_of_key(request.key), now};
    auto& slot = slot_for(table, request.key);
    if (request.epoch != table.roster.epoch || slot.role != slot_role::first)
    {
        return reply(ticket, claim_verdict::wrong_epoch, table.settings.retry_soon);
    }
    const bool active = is_active(table, at.slot);
    const bool may_grant = active && fresh;
    auto* known = find_live(slot, table.settings, request.key, now);
    const bool is_free = known == nullptr || (known->state == claim_state::released &&
                                                 !is_of(*known, request.executor, request.attempt));
    if (!is_free)
    {
        return decide_known(table, request, *known, at, may_grant);
    }
    if (!active)
    {
        return reply_not_active(table, at);
    }
    if (!fresh)
    {
        return reply(ticket, claim_verdict::not_ready, table.settings.retry_soon);
    }
    if (known == nullptr && !make_room(slot, table.settings, now))
    {
        return refuse_after_confirmation(table, copy_purpose::refuse_full, at);
    }
    return grant_after_copy(table, request, claim_key(table, slot, request, now), at);
}

claim_actions on_copy_result(claim_table& table,
    std::uint64_t number,
    ports::peer_status status,
    const ports::ack& ack,
    bool fresh)
{
    const auto it = table.pending.find(number);
    if (it == table.pending.end())
    {
        return {};
    }
    const auto pending = std::move(it->second);
    table.pending.erase(it);
    if (status == ports::peer_status::ok && ack.accepted)
    {
        if (pending.epoch == table.roster.epoch)
        {
            table.slots[pending.slot].other_whole = pending.epoch;
        }
        return conclude(table, pending, fresh);
    }
    if (pending.purpose == copy_purpose::finish)
    {
        return {reply_finish{pending.ticket, ports::ack{false}}};
    }
    return reply(pending.ticket, claim_verdict::not_ready, table.settings.retry_soon);
}

ports::ack on_copy(claim_table& table, const ports::claim_copy& copy, core::mono_time now)
{
    if (copy.slot >= table.slots.size())
    {
        return {false};
    }
    auto& slot = table.slots[copy.slot];
    const bool stands =
        copy.epoch == table.roster.epoch && is_active(table, copy.slot) &&
        slot.role == slot_role::second &&
        (copy.entry.key.empty() || membership::slot_of_key(copy.entry.key) == copy.slot);
    if (!stands)
    {
        return {false};
    }
    slot.other_whole = copy.epoch;
    if (!copy.entry.key.empty())
    {
        merge_entry(slot, table.settings, copy.entry, now);
    }
    return {true};
}

} // namespace camphorhitch::claims
