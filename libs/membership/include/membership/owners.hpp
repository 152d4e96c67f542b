/// \file
/// Maps pools, waves, experiments and claim slots to members. The mapping depends on the roster
/// alone and is the same in every process and every version.
#pragma once

#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorhitch::membership
{

/// Number of slots over which the idempotency keys are distributed. Part of the protocol between
/// versions.
inline constexpr std::uint32_t slot_count = 256;

/// A list of member records, for example the members of a roster.
using member_list = std::vector<model::member_record>;

/// The two members that store a slot's claims. A holder is null when the roster has too few
/// members.
struct slot_holders
{
    const model::member_record* first = nullptr;
    const model::member_record* second = nullptr;
};

/// \return whether both records name the same process. A restarted member has a new incarnation and
///   has lost its state.
bool same_process(const model::member_record& a, const model::member_record& b);

/// \return the record with that id and any incarnation, or nullptr.
const model::member_record* find_member(const member_list& members, std::string_view id);

/// \return whether \p members contains the process \p process, with the same incarnation.
bool contains_process(const member_list& members, const model::member_record& process);

/// \return "id/incarnation"; identifies an executor of claims.
std::string process_name(const model::member_record& process);

/// \return the indices of the members in rendezvous order for \p key, the highest-ranked first.
std::vector<std::size_t> rank_members(const member_list& members, std::string_view key);

/// \return the owner of the document \p key (a key as in model::keys, without the root), or nullptr
///   when the roster is empty.
const model::member_record* owner_of(const model::roster_document& roster, std::string_view key);

/// \return the owner of the pool \p pool, or nullptr when the roster is empty.
const model::member_record* owner_of_pool(
    const model::roster_document& roster, std::string_view pool);

/// \return the owner of the wave \p wave, or nullptr when the roster is empty.
const model::member_record* owner_of_wave(
    const model::roster_document& roster, std::string_view wave);

/// \return the owner of the experiment \p experiment, or nullptr when the roster is empty.
const model::member_record* owner_of_experiment(
    const model::roster_document& roster, std::string_view experiment);

/// \return the holders of a slot. The first holder is the highest-ranked member. The second holder
///   is the highest-ranked member of a different availability zone, if there is one, so that one
///   holder survives the loss of a zone; otherwise it is the member ranked second.
slot_holders claim_holders(const member_list& members, std::uint32_t slot);

/// \return the slot of an idempotency key.
std::uint32_t slot_of_key(std::string_view key);

} // namespace camphorhitch::membership
