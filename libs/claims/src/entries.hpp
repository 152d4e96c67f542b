/// \file
/// Entries of a slot: conversion to and from the wire, merging by version, expiry by age.
#pragma once

#include "claims/claim_table.hpp"

namespace camphorhitch::claims
{

/// \return the entry in the form that another member can merge: with its age instead of a time.
ports::claim_entry to_wire(const std::string& key, const key_record& record, core::mono_time now);

/// Merges a received entry unless a newer one is stored or the received one has expired.
void merge_entry(claim_slot& slot,
    const claim_settings& settings,
    const ports::claim_entry& entry,
    core::mono_time now);

/// \return the record of the key, or nullptr; removes the record when it has expired.
key_record* find_key(
    claim_slot& slot, const claim_settings& settings, const std::string& key, core::mono_time now);

/// Frees capacity in a full slot by removing expired and released keys.
/// \return whether one more key can be stored.
bool make_room(claim_slot& slot, const claim_settings& settings, core::mono_time now);

/// Removes all expired keys of the slot.
void remove_expired_keys(claim_slot& slot, const claim_settings& settings, core::mono_time now);

/// Stores the answer, or only the fact that there was one when the answer is too large.
void store_answer(claim_slot& slot,
    const claim_settings& settings,
    key_record& record,
    const ports::claim_entry& entry);

/// Stamps a change that this member makes as the slot's first holder.
void stamp_change(
    claim_slot& slot, key_record& record, ports::epoch_number epoch, core::mono_time now);

} // namespace camphorhitch::claims
