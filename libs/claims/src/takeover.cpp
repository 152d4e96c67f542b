#include "entries.hpp"
#include "walk_back.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <tuple>

namespace camphorhitch::claims
{

namespace
{

/// Slots to ask of each process, in an order that is the same in every run.
struct pull_plan
{
    struct by_process
    {
        bool operator()(const model::member_record& a, const model::member_record& b) const
        {
            return std::tie(a.id, a.incarnation) < std::tie(b.id, b.incarnation);
        }
    };
    std::map<model::member_record, std::vector<std::uint32_t>, by_process> slots;
};

void assign_role(claim_slot& slot, const claim_table& table, std::uint32_t number)
{
    const auto holders = membership::claim_holders(table.roster.members, number);
    const auto is_self = [&](const model::member_record* it)
    {
        return it != nullptr && membership::same_process(*it, table.self);
    };
    slot.reports.clear();
    slot.gone.clear();
    slot.asked.clear();
    slot.nobody_left = false;
    slot.role = slot_role::none;
    if (!is_self(holders.first) && !is_self(holders.second))
    {
        return;
    }
    const bool is_first = is_self(holders.first);
    const auto* other = is_first ? holders.second : holders.first;
    slot.role = is_first ? slot_role::first : slot_role::second;
    slot.other = other == nullptr ? std::nullopt : std::optional{*other};
    slot.handed_over = false;
}

bool is_waiting(const claim_table& table, const claim_slot& slot)
{
    return slot.role != slot_role::none && slot.complete_through < table.roster.epoch;
}

/// Makes the slot active if its state is known by now.
/// \return whom to ask otherwise.
std::vector<model::member_record> resolve(
    claim_table& table, std::uint32_t number, core::mono_time now)
{
    auto& slot = table.slots[number];
    auto end = walk_back(table, number);
    if (end.whole || now >= end.deadline)
    {
        slot.complete_through = table.roster.epoch;
        slot.nobody_left = false;
        return {};
    }
    slot.quarantined_through = table.roster.epoch;
    slot.quarantine_until = end.deadline;
    slot.nobody_left = end.ask.empty();
    return std::move(end.ask);
}

/// Each process is asked once a round, however many replies of others arrive meanwhile.
void plan(pull_plan& pulls,
    claim_table& table,
    std::uint32_t number,
    const std::vector<model::member_record>& ask)
{
    auto& asked = table.slots[number].asked;
    for (const auto& it : ask)
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

/// Each round asks the co-holder too: it may have found somebody who was gone when we asked.
claim_actions ask_again(claim_table& table, core::mono_time now)
{
    pull_plan pulls;
    for (std::uint32_t it = 0; it < table.slots.size(); ++it)
    {
        if (!is_waiting(table, table.slots[it]))
        {
            continue;
        }
        table.slots[it].asked.clear();
        plan(pulls, table, it, resolve(table, it, now));
        if (is_waiting(table, table.slots[it]) && table.slots[it].other)
        {
            plan(pulls, table, it, {*table.slots[it].other});
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
            resolve(table, it, now);
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
    for (const auto& [key, known] : slot.keys)
    {
        state.entries.push_back(to_wire(key, known, now));
    }
    return state;
}

void take_report(claim_table& table,
    const model::member_record& who,
    const ports::slot_state& state,
    core::mono_time now)
{
    auto& slot = table.slots[state.slot];
    for (const auto& it : state.entries)
    {
        merge_entry(slot, table.settings, it, now);
    }
    const holder_report report{who,
        state.complete_through,
        state.refused_through,
        state.quarantined_through,
        now + state.quarantine_left};
    for (auto& it : slot.reports)
    {
        if (membership::same_process(it.who, who))
        {
            it = report;
            return;
        }
    }
    slot.reports.push_back(report);
}

/// A refused connection, or another process at the address: what that holder knew is lost.
void note_gone(claim_table& table, const send_pull& asked)
{
    for (const auto it : asked.pull.slots)
    {
        table.slots[it].gone.push_back(asked.to);
    }
}

claim_actions resolve_asked(claim_table& table, const send_pull& asked, core::mono_time now)
{
    pull_plan pulls;
    for (const auto it : asked.pull.slots)
    {
        if (!is_waiting(table, table.slots[it]))
        {
            continue;
        }
        plan(pulls, table, it, resolve(table, it, now));
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
    table.pulled_at = now;
    pull_plan pulls;
    for (std::uint32_t it = 0; it < table.slots.size(); ++it)
    {
        auto& slot = table.slots[it];
        assign_role(slot, table, it);
        if (slot.role != slot_role::none)
        {
            plan(pulls, table, it, resolve(table, it, now));
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
        const auto asks = [&](const model::member_record* holder)
        {
            return holder != nullptr && holder->id == pull.member;
        };
        auto& slot = table.slots[it];
        slot.handed_over = slot.handed_over || asks(holders.first) || asks(holders.second);
        reply.slots.push_back(state_of(table, it, now));
    }
    return reply;
}

claim_actions on_pull_result(claim_table& table,
    const send_pull& asked,
    ports::peer_status status,
    const ports::slot_pull_reply& reply,
    core::mono_time now)
{
    if (asked.pull.epoch != table.roster.epoch || status == ports::peer_status::unreachable)
    {
        return {};
    }
    const bool other_process =
        reply.member != asked.to.id || reply.incarnation != asked.to.incarnation;
    if (status == ports::peer_status::refused || other_process)
    {
        note_gone(table, asked);
        return resolve_asked(table, asked, now);
    }
    if (!reply.adopted)
    {
        return {};
    }
    for (const auto& it : reply.slots)
    {
        const auto& slots = asked.pull.slots;
        const bool was_asked = std::find(slots.begin(), slots.end(), it.slot) != slots.end();
        // A replier that is ahead of us may hold what a newer epoch granted; we follow first.
        if (was_asked && it.refused_through < table.roster.epoch)
        {
            take_report(table, asked.to, it, now);
        }
    }
    return resolve_asked(table, asked, now);
}

claim_actions on_tick(claim_table& table, core::mono_time now)
{
    for (std::size_t n = 0; n < table.settings.slots_per_sweep; ++n)
    {
        sweep(table.slots[table.swept], table.settings, now);
        table.swept = (table.swept + 1) % membership::slot_count;
    }
    end_quarantines(table, now);
    const bool patient = now - table.adopted_at < table.settings.pull_patience;
    const auto interval = table.settings.pull_repeat * (patient ? 1 : table.settings.rare_rounds);
    if (now - table.pulled_at < interval)
    {
        return {};
    }
    table.pulled_at = now;
    return ask_again(table, now);
}

bool is_active(const claim_table& table, std::uint32_t slot)
{
    const auto& it = table.slots[slot];
    return table.roster.epoch != 0 && it.role != slot_role::none &&
           it.complete_through == table.roster.epoch;
}

std::size_t waiting_slots(const claim_table& table)
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
            const bool other_knows = it.other_whole == it.complete_through && it.other &&
                                     membership::contains_process(table.roster.members, *it.other);
            return it.complete_through == 0 || it.handed_over || other_knows;
        });
}

std::size_t remembered_keys(const claim_table& table)
{
    std::size_t n = 0;
    for (const auto& it : table.slots)
    {
        n += it.keys.size();
    }
    return n;
}

} // namespace camphorhitch::claims
