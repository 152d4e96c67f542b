/// \file
/// What heartbeats, leases and refusals show of other processes.
#pragma once

#include "membership/roster_logic.hpp"

namespace camphorhitch::membership
{

/// \return the members in force, or none.
const member_list& members_of(const roster_state& state);

const peer_evidence* find_evidence(const roster_state& state, const model::member_record& who);

/// \return the evidence about \p who, begun now if there is none.
peer_evidence& evidence_of(
    roster_state& state, const model::member_record& who, core::mono_time now);

/// \return whether \p who is in the roster or holds a lease.
bool is_known(const roster_state& state, const model::member_record& who);

/// Evidence starts when a process is first expected to be heard, and ends with its last record.
void track_peers(roster_state& state, core::mono_time now);

void track_leases(roster_state& state, core::mono_time now);

bool is_silent(const roster_state& state, const model::member_record& who, core::mono_time now);

/// \return whether its address refused often enough to prove that the process is gone.
bool is_gone(const roster_state& state, const model::member_record& who);

/// One link that is down must not remove a member whom all others hear, so one process's silence
/// counts only together with what the others report.
bool is_silent_to_majority(
    const roster_state& state, const model::member_record& who, core::mono_time now);

/// \return why \p who can't act any more, or an empty text.
std::string why_dead(
    const roster_state& state, const model::member_record& who, core::mono_time now);

/// \return why \p who is to be left out of the next roster, or an empty text.
std::string why_remove(
    const roster_state& state, const model::member_record& who, core::mono_time now);

} // namespace camphorhitch::membership
