#include "entries.hpp"

#include <algorithm>
#include <chrono>

namespace camphorhitch::claims
{

namespace
{

std::size_t answer_size(const remembered_key& known)
{
    if (!known.answer)
    {
        return 0;
    }
    std::size_t size = known.answer->body.size();
    for (const auto& [name, text] : known.answer->fields)
    {
        size += name.size() + text.size();
    }
    return size;
}

bool is_forgotten(const remembered_key& known, const claim_settings& settings, core::mono_time now)
{
    return now - known.changed >= remembered_for(settings);
}

template <class Drop>
void erase_keys(claim_slot& slot, Drop drop)
{
    for (auto it = slot.keys.begin(); it != slot.keys.end();)
    {
        if (drop(it->second))
        {
            slot.answer_bytes -= answer_size(it->second);
            it = slot.keys.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

std::shared_ptr<const remembered_answer> answer_of(const ports::claim_entry& entry)
{
    auto answer = std::make_shared<remembered_answer>();
    answer->status = entry.status;
    answer->fields = entry.fields;
    answer->body = entry.body;
    return answer;
}

bool is_newer(const ports::claim_entry& entry, const remembered_key& known)
{
    return entry.epoch != known.epoch ? entry.epoch > known.epoch : entry.sequence > known.sequence;
}

} // namespace

core::millis remembered_for(const claim_settings& settings)
{
    return settings.key_memory + settings.permit_ttl;
}

core::millis quarantine_of(const claim_settings& settings)
{
    return settings.stop_bound + settings.permit_ttl + remembered_for(settings);
}

ports::claim_entry to_wire(const std::string& key, const remembered_key& known, core::mono_time now)
{
    ports::claim_entry entry;
    entry.key = key;
    entry.body_hash = known.body_hash;
    entry.state = known.state;
    entry.executor = known.executor;
    entry.attempt = known.attempt;
    entry.epoch = known.epoch;
    entry.sequence = known.sequence;
    // Rounded down, and the time on the way is not counted: an entry may live longer, never
    // shorter.
    entry.age = std::chrono::floor<core::millis>(now - known.changed);
    if (known.answer)
    {
        entry.status = known.answer->status;
        entry.fields = known.answer->fields;
        entry.body = known.answer->body;
        entry.answer_kept = true;
    }
    return entry;
}

void merge_entry(claim_slot& slot,
    const claim_settings& settings,
    const ports::claim_entry& entry,
    core::mono_time now)
{
    if (entry.age >= remembered_for(settings))
    {
        return;
    }
    auto& known = slot.keys[entry.key];
    if (known.epoch != 0 && !is_newer(entry, known))
    {
        return;
    }
    slot.answer_bytes -= answer_size(known);
    known.body_hash = entry.body_hash;
    known.state = entry.state;
    known.executor = entry.executor;
    known.attempt = entry.attempt;
    known.epoch = entry.epoch;
    known.sequence = entry.sequence;
    known.changed = now - std::max(entry.age, core::millis{0});
    known.answer = entry.answer_kept ? answer_of(entry) : nullptr;
    slot.answer_bytes += answer_size(known);
}

remembered_key* find_live(
    claim_slot& slot, const claim_settings& settings, const std::string& key, core::mono_time now)
{
    const auto it = slot.keys.find(key);
    if (it == slot.keys.end())
    {
        return nullptr;
    }
    if (!is_forgotten(it->second, settings, now))
    {
        return &it->second;
    }
    slot.answer_bytes -= answer_size(it->second);
    slot.keys.erase(it);
    return nullptr;
}

bool make_room(claim_slot& slot, const claim_settings& settings, core::mono_time now)
{
    if (slot.keys.size() < settings.keys_per_slot)
    {
        return true;
    }
    erase_keys(slot,
        [&](const auto& known) {
            return known.state == ports::claim_state::released ||
                   is_forgotten(known, settings, now);
        });
    return slot.keys.size() < settings.keys_per_slot;
}

void sweep(claim_slot& slot, const claim_settings& settings, core::mono_time now)
{
    erase_keys(slot, [&](const auto& known) { return is_forgotten(known, settings, now); });
}

void keep_answer(claim_slot& slot,
    const claim_settings& settings,
    remembered_key& known,
    const ports::claim_entry& entry)
{
    slot.answer_bytes -= answer_size(known);
    known.answer = entry.answer_kept ? answer_of(entry) : nullptr;
    const auto size = answer_size(known);
    if (size > settings.answer_kept_bytes ||
        slot.answer_bytes + size > settings.answer_bytes_per_slot)
    {
        known.answer.reset();
    }
    slot.answer_bytes += answer_size(known);
}

void stamp(claim_slot& slot, remembered_key& known, ports::epoch_number epoch, core::mono_time now)
{
    known.epoch = epoch;
    known.sequence = ++slot.sequence;
    known.changed = now;
}

} // namespace camphorhitch::claims
