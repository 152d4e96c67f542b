/// \file
/// Entries of a slot: to and from the wire, merged by version, forgotten by age.
#pragma once

#include "claims/claim_table.hpp"

namespace camphorhitch::claims
{

/// \return the entry as another member may take it over: with its age instead of a time.
ports::claim_entry to_wire(
    const std::string& key, const remembered_key& known, core::mono_time now);

/// Takes over an entry unless a newer one is known or it is too old to be remembered.
void merge_entry(claim_slot& slot,
    const claim_settings& settings,
    const ports::claim_entry& entry,
    core::mono_time now);

/// \return the remembered key, or nullptr; forgets it when its time is over.
remembered_key* find_live(
    claim_slot& slot, const claim_settings& settings, const std::string& key, core::mono_time now);

/// Makes room in a full slot: forgets what is too old and what was released.
/// \return whether there is room for one more key.
bool make_room(claim_slot& slot, const claim_settings& settings, core::mono_time now);

/// Forgets what is too old.
void sweep(claim_slot& slot, const claim_settings& settings, core::mono_time now);

/// Remembers the answer, or only that there was one when it is too large.
void keep_answer(claim_slot& slot,
    const claim_settings& settings,
    remembered_key& known,
    const ports::claim_entry& entry);

/// Stamps a change by the slot's first holder.
void stamp(claim_slot& slot, remembered_key& known, ports::epoch_number epoch, core::mono_time now);

} // namespace camphorhitch::claims
