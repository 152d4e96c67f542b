#include "entries.hpp"

#include <algorithm>
#include <chrono>

namespace camphorhitch::claims
{

namespace
{

std::size_t answer_size(const key_record& record)
{
    if (!record.answer)
    {
        return 0;
    }
    std::size_t size = record.answer->body.size();
    for (const auto& [name, text] : record.answer->fields)
    {
        size += name.size() + text.size();
    }
    return size;
}

bool is_expired(const key_record& record, const claim_settings& settings, core::mono_time now)
{
    return now - record.changed_at >= key_lifetime(settings);
}

template <class Predicate>
void erase_keys_if(claim_slot& slot, Predicate should_erase)
{
    for (auto it = slot.keys.begin(); it != slot.keys.end();)
    {
        if (should_erase(it->second))
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

std::shared_ptr<const stored_answer> make_answer(const ports::claim_entry& entry)
{
    auto answer = std::make_shared<stored_answer>();
    answer->status = entry.status;
    answer->fields = entry.fields;
    answer->body = entry.body;
    return answer;
}

bool is_newer(const ports::claim_entry& entry, const key_record& record)
{
    return entry.epoch != record.epoch ? entry.epoch > record.epoch
                                       : entry.sequence > record.sequence;
}

} // namespace

core::millis key_lifetime(const claim_settings& settings)
{
    return settings.key_memory + settings.permit_ttl;
}

core::millis quarantine_time(const claim_settings& settings)
{
    return settings.stop_bound + settings.permit_ttl + key_lifetime(settings);
}

ports::claim_entry to_wire(const std::string& key, const key_record& record, core::mono_time now)
{
    ports::claim_entry entry;
    entry.key = key;
    entry.body_hash = record.body_hash;
    entry.state = record.state;
    entry.executor = record.executor;
    entry.attempt = record.attempt;
    entry.epoch = record.epoch;
    entry.sequence = record.sequence;
    // The age is rounded down and the time of the transfer is not counted: an entry may be kept
    // longer at the receiver, but never shorter.
    entry.age = std::chrono::floor<core::millis>(now - record.changed_at);
    if (record.answer)
    {
        entry.status = record.answer->status;
        entry.fields = record.answer->fields;
        entry.body = record.answer->body;
        entry.answer_kept = true;
    }
    return entry;
}

void merge_entry(claim_slot& slot,
    const claim_settings& settings,
    const ports::claim_entry& entry,
    core::mono_time now)
{
    if (entry.age >= key_lifetime(settings))
    {
        return;
    }
    auto& record = slot.keys[entry.key];
    if (record.epoch != 0 && !is_newer(entry, record))
    {
        return;
    }
    slot.answer_bytes -= answer_size(record);
    record.body_hash = entry.body_hash;
    record.state = entry.state;
    record.executor = entry.executor;
    record.attempt = entry.attempt;
    record.epoch = entry.epoch;
    record.sequence = entry.sequence;
    record.changed_at = now - std::max(entry.age, core::millis{0});
    record.answer = entry.answer_kept ? make_answer(entry) : nullptr;
    slot.answer_bytes += answer_size(record);
}

key_record* find_key(
    claim_slot& slot, const claim_settings& settings, const std::string& key, core::mono_time now)
{
    const auto it = slot.keys.find(key);
    if (it == slot.keys.end())
    {
        return nullptr;
    }
    if (!is_expired(it->second, settings, now))
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
    erase_keys_if(slot,
        [&](const auto& record) {
            return record.state == ports::claim_state::released ||
                   is_expired(record, settings, now);
        });
    return slot.keys.size() < settings.keys_per_slot;
}

void remove_expired_keys(claim_slot& slot, const claim_settings& settings, core::mono_time now)
{
    erase_keys_if(slot, [&](const auto& record) { return is_expired(record, settings, now); });
}

void store_answer(claim_slot& slot,
    const claim_settings& settings,
    key_record& record,
    const ports::claim_entry& entry)
{
    slot.answer_bytes -= answer_size(record);
    record.answer = entry.answer_kept ? make_answer(entry) : nullptr;
    const auto size = answer_size(record);
    if (size > settings.answer_kept_bytes ||
        slot.answer_bytes + size > settings.answer_bytes_per_slot)
    {
        record.answer.reset();
    }
    slot.answer_bytes += answer_size(record);
}

void stamp_change(
    claim_slot& slot, key_record& record, ports::epoch_number epoch, core::mono_time now)
{
    record.epoch = epoch;
    record.sequence = ++slot.sequence;
    record.changed_at = now;
}

} // namespace camphorhitch::claims
