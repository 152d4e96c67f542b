/// \file
/// Evidence about other processes, from heartbeats, leases and refused connections.
#pragma once

#include "membership/roster_logic.hpp"

namespace camphorhitch::membership
{

/// \return the members of the current roster; empty when there is no roster.
const member_list& members_of(const roster_state& state);

/// \return the evidence about \p process, or nullptr.
const peer_evidence* find_evidence(const roster_state& state, const model::member_record& process);

/// \return the evidence about \p process, created at \p now if there is none.
peer_evidence& find_or_add_evidence(
    roster_state& state, const model::member_record& process, core::mono_time now);

/// \return whether \p process is in the roster or holds a lease.
bool is_known(const roster_state& state, const model::member_record& process);

/// Keeps one evidence record for each process in the roster or with a lease. A record starts when
/// the process is first expected to be heard, and is removed when the process is neither in the
/// roster nor leased.
void update_peer_evidence(roster_state& state, core::mono_time now);

/// Records since when each member of the roster has been without a lease.
void update_missing_leases(roster_state& state, core::mono_time now);

/// \return whether this process has not heard \p process for longer than `unresponsive_after`.
bool is_unresponsive(
    const roster_state& state, const model::member_record& process, core::mono_time now);

/// \return whether the address of \p process refused often enough to prove that the process has
/// ended.
bool is_proven_ended(const roster_state& state, const model::member_record& process);

/// \return whether a majority of the members, including this one, finds \p process unresponsive. A
///   single broken link must not remove a member that all others hear, so the observation of this
///   process counts only together with the reports of the other members.
bool is_unresponsive_to_majority(
    const roster_state& state, const model::member_record& process, core::mono_time now);

/// \return the evidence that \p process can't act any more, as text; empty when there is none.
std::string termination_evidence(
    const roster_state& state, const model::member_record& process, core::mono_time now);

/// \return the reason why the next roster must not include \p process; empty when there is none.
std::string removal_reason(
    const roster_state& state, const model::member_record& process, core::mono_time now);

} // namespace camphorhitch::membership
