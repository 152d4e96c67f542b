#include "entries.hpp"
#include "slot_recovery.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <tuple>

namespace camphorhitch::claims
{

namespace
{

/// The slots to pull from each process, in an order that is the same in every run.
struct pull_plan
{
    struct process_less
    {
        bool operator()(const model::member_record& a, const model::member_record& b) const
        {
            return std::tie(a.id, a.incarnation) < std::tie(b.id, b.incarnation);
        }
    };
    std::map<model::member_record, std::vector<std::uint32_t>, process_less> slots;
};

void assign_role(claim_slot& slot, const claim_table& table, std::uint32_t number)
{
    const auto holders = membership::claim_holders(table.roster.members, number);
    const auto is_self = [&](const model::member_record* it)
    {
        return it != nullptr && membership::same_process(*it, table.self);
    };
    slot.reports.clear();
    slot.lost_holders.clear();
    slot.asked_this_round.clear();
    slot.no_holder_left = false;
    slot.role = slot_role::none;
    if (!is_self(holders.first) && !is_self(holders.second))
    {
        return;
    }
    const bool is_first = is_self(holders.first);
    const auto* other = is_first ? holders.second : holders.first;
    slot.role = is_first ? slot_role::first : slot_role::second;
    slot.other_holder = other == nullptr ? std::nullopt : std::optional{*other};
    slot.handed_over = false;
}

bool is_waiting(const claim_table& table, const claim_slot& slot)
{
    return slot.role != slot_role::none && slot.complete_through < table.roster.epoch;
}

/// Makes the slot active if its state is recovered by now.
/// \return otherwise, the processes to ask.
std::vector<model::member_record> update_recovery(
    claim_table& table, std::uint32_t number, core::mono_time now)
{
    auto& slot = table.slots[number];
    auto status = evaluate_recovery(table, number);
    if (status.complete || now >= status.quarantine_end)
    {
        slot.complete_through = table.roster.epoch;
        slot.no_holder_left = false;
        return {};
    }
    slot.quarantined_through = table.roster.epoch;
    slot.quarantine_until = status.quarantine_end;
    slot.no_holder_left = status.holders_to_ask.empty();
    return std::move(status.holders_to_ask);
}

/// Adds the slot to the pulls of each holder. Each process is asked once per round, however many
/// replies of other processes arrive in between.
void add_pulls(pull_plan& pulls,
    claim_table& table,
    std::uint32_t number,
    const std::vector<model::member_record>& holders)
{
    auto& asked = table.slots[number].asked_this_round;
    for (const auto& it : holders)
    {
        if (!membership::contains_process(asked, it))
        {
            asked.push_back(it);
            pulls.slots[it].push_back(number);
        }
    }
}

claim_actions to_actions(const claim_table& table, const pull_plan& pulls)
{
    claim_actions actions;
    for (const auto& [process, slots] : pulls.slots)
    {
        for (std::size_t begin = 0; begin < slots.size(); begin += table.settings.slots_per_pull)
        {
            const auto end = std::min(slots.size(), begin + table.settings.slots_per_pull);
            ports::slot_pull pull;
            pull.epoch = table.roster.epoch;
            pull.member = table.self.id;
            pull.slots.assign(slots.begin() + static_cast<std::ptrdiff_t>(begin),
                slots.begin() + static_cast<std::ptrdiff_t>(end));
            actions.emplace_back(send_pull{process, std::move(pull)});
        }
    }
    return actions;
}

/// Starts a new round of pulls. Each round also asks the other holder, which may have reached a
/// process that could not be reached from here.
claim_actions request_missing_states(claim_table& table, core::mono_time now)
{
    pull_plan pulls;
    for (std::uint32_t it = 0; it < table.slots.size(); ++it)
    {
        if (!is_waiting(table, table.slots[it]))
        {
            continue;
        }
        table.slots[it].asked_this_round.clear();
        add_pulls(pulls, table, it, update_recovery(table, it, now));
        if (is_waiting(table, table.slots[it]) && table.slots[it].other_holder)
        {
            add_pulls(pulls, table, it, {*table.slots[it].other_holder});
        }
    }
    return to_actions(table, pulls);
}

void end_quarantines(claim_table& table, core::mono_time now)
{
    for (std::uint32_t it = 0; it < table.slots.size(); ++it)
    {
        if (is_waiting(table, table.slots[it]) && now >= table.slots[it].quarantine_until)
        {
            update_recovery(table, it, now);
        }
    }
}

ports::slot_state state_of(const claim_table& table, std::uint32_t number, core::mono_time now)
{
    const auto& slot = table.slots[number];
    ports::slot_state state;
    state.slot = number;
    state.complete_through = slot.complete_through;
    state.refused_through = table.roster.epoch - 1;
    if (slot.complete_through < slot.quarantined_through)
    {
        const auto left = std::max(slot.quarantine_until - now, core::mono_time::duration{0});
        state.quarantined_through = slot.quarantined_through;
        state.quarantine_left = std::chrono::ceil<core::millis>(left);
    }
    state.entries.reserve(slot.keys.size());
    for (const auto& [key, record] : slot.keys)
    {
        state.entries.push_back(to_wire(key, record, now));
    }
    return state;
}

void apply_report(claim_table& table,
    const model::member_record& holder,
    const ports::slot_state& state,
    core::mono_time now)
{
    auto& slot = table.slots[state.slot];
    for (const auto& it : state.entries)
    {
        merge_entry(slot, table.settings, it, now);
    }
    const holder_report report{holder,
        state.complete_through,
        state.refused_through,
        state.quarantined_through,
        now + state.quarantine_left};
    for (auto& it : slot.reports)
    {
        if (membership::same_process(it.holder, holder))
        {
            it = report;
            return;
        }
    }
    slot.reports.push_back(report);
}

/// A refused connection, or another process at the address, shows that the state of that holder is
/// lost.
void record_lost_holders(claim_table& table, const send_pull& sent)
{
    for (const auto it : sent.pull.slots)
    {
        table.slots[it].lost_holders.push_back(sent.to);
    }
}

claim_actions update_pulled_slots(claim_table& table, const send_pull& sent, core::mono_time now)
{
    pull_plan pulls;
    for (const auto it : sent.pull.slots)
    {
        if (!is_waiting(table, table.slots[it]))
        {
            continue;
        }
        add_pulls(pulls, table, it, update_recovery(table, it, now));
    }
    return to_actions(table, pulls);
}

} // namespace

claim_actions on_roster(
    claim_table& table, const model::roster_document& roster, core::mono_time now)
{
    if (roster.epoch <= table.roster.epoch)
    {
        return {};
    }
    table.roster = roster;
    table.adopted_at = now;
    table.last_pull_at = now;
    pull_plan pulls;
    for (std::uint32_t it = 0; it < table.slots.size(); ++it)
    {
        auto& slot = table.slots[it];
        assign_role(slot, table, it);
        if (slot.role != slot_role::none)
        {
            add_pulls(pulls, table, it, update_recovery(table, it, now));
        }
    }
    return to_actions(table, pulls);
}

ports::slot_pull_reply on_pull(
    claim_table& table, const ports::slot_pull& pull, core::mono_time now)
{
    ports::slot_pull_reply reply;
    reply.member = table.self.id;
    reply.incarnation = table.self.incarnation;
    reply.adopted = table.roster.epoch != 0 && table.roster.epoch >= pull.epoch;
    if (!reply.adopted)
    {
        return reply;
    }
    for (const auto it : pull.slots)
    {
        if (it >= table.slots.size())
        {
            continue;
        }
        const auto holders = membership::claim_holders(table.roster.members, it);
        const auto is_sender = [&](const model::member_record* holder)
        {
            return holder != nullptr && holder->id == pull.member;
        };
        auto& slot = table.slots[it];
        slot.handed_over =
            slot.handed_over || is_sender(holders.first) || is_sender(holders.second);
        reply.slots.push_back(state_of(table, it, now));
    }
    return reply;
}

claim_actions on_pull_result(claim_table& table,
    const send_pull& sent,
    ports::peer_status status,
    const ports::slot_pull_reply& reply,
    core::mono_time now)
{
    if (sent.pull.epoch != table.roster.epoch || status == ports::peer_status::unreachable)
    {
        return {};
    }
    const bool other_process =
        reply.member != sent.to.id || reply.incarnation != sent.to.incarnation;
    if (status == ports::peer_status::refused || other_process)
    {
        record_lost_holders(table, sent);
        return update_pulled_slots(table, sent, now);
    }
    if (!reply.adopted)
    {
        return {};
    }
    for (const auto& it : reply.slots)
    {
        const auto& slots = sent.pull.slots;
        const bool was_asked = std::find(slots.begin(), slots.end(), it.slot) != slots.end();
        // A member that is ahead of this one may hold grants of a newer epoch. This member adopts
        // that epoch first.
        if (was_asked && it.refused_through < table.roster.epoch)
        {
            apply_report(table, sent.to, it, now);
        }
    }
    return update_pulled_slots(table, sent, now);
}

claim_actions on_tick(claim_table& table, core::mono_time now)
{
    for (std::size_t n = 0; n < table.settings.slots_per_cleanup; ++n)
    {
        remove_expired_keys(table.slots[table.next_cleanup_slot], table.settings, now);
        table.next_cleanup_slot = (table.next_cleanup_slot + 1) % membership::slot_count;
    }
    end_quarantines(table, now);
    const bool before_pull_timeout = now - table.adopted_at < table.settings.pull_timeout;
    const auto interval = table.settings.pull_interval *
                          (before_pull_timeout ? 1 : table.settings.late_pull_interval_factor);
    if (now - table.last_pull_at < interval)
    {
        return {};
    }
    table.last_pull_at = now;
    return request_missing_states(table, now);
}

bool is_active(const claim_table& table, std::uint32_t slot)
{
    const auto& it = table.slots[slot];
    return table.roster.epoch != 0 && it.role != slot_role::none &&
           it.complete_through == table.roster.epoch;
}

std::size_t waiting_slot_count(const claim_table& table)
{
    return static_cast<std::size_t>(std::count_if(table.slots.begin(),
        table.slots.end(),
        [&](const auto& it) { return is_waiting(table, it); }));
}

bool is_handed_over(const claim_table& table)
{
    return std::all_of(table.slots.begin(),
        table.slots.end(),
        [&](const auto& it)
        {
            const bool other_is_complete =
                it.other_complete_through == it.complete_through && it.other_holder &&
                membership::contains_process(table.roster.members, *it.other_holder);
            return it.complete_through == 0 || it.handed_over || other_is_complete;
        });
}

std::size_t stored_key_count(const claim_table& table)
{
    std::size_t n = 0;
    for (const auto& it : table.slots)
    {
        n += it.keys.size();
    }
    return n;
}

} // namespace camphorhitch::claims
