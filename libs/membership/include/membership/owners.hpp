/// \file
/// Who owns what: a function of the roster alone, the same in every process and every version.
#pragma once

#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorhitch::membership
{

/// Slots that the idempotency keys are spread over. Part of the protocol between versions.
inline constexpr std::uint32_t slot_count = 256;

using member_list = std::vector<model::member_record>;

/// The two members that remember a slot's claims; null where there is none.
struct slot_holders
{
    const model::member_record* first = nullptr;
    const model::member_record* second = nullptr;
};

/// \return whether both are the same process: a restarted member has forgotten everything.
bool same_process(const model::member_record& a, const model::member_record& b);

/// \return the record of that id, whatever its incarnation, or nullptr.
const model::member_record* find_member(const member_list& members, std::string_view id);

/// \return whether the very process \p who is among \p members.
bool contains_process(const member_list& members, const model::member_record& who);

/// \return "id/incarnation": names an executor of claims.
std::string process_name(const model::member_record& who);

/// \return the members' positions in rendezvous order for \p key, the best first.
std::vector<std::size_t> order_for(const member_list& members, std::string_view key);

/// \return the owner of the document \p key (as in model::keys, without the root), or nullptr when
/// the roster is empty.
const model::member_record* owner_of(const model::roster_document& roster, std::string_view key);

const model::member_record* owner_of_pool(
    const model::roster_document& roster, std::string_view pool);

const model::member_record* owner_of_wave(
    const model::roster_document& roster, std::string_view wave);

const model::member_record* owner_of_experiment(
    const model::roster_document& roster, std::string_view experiment);

/// The first two in rendezvous order; the second is the best of another availability zone than the
/// first one's where there is one, so that the loss of a zone leaves a holder.
slot_holders claim_holders(const member_list& members, std::uint32_t slot);

/// \return the slot of an idempotency key.
std::uint32_t slot_of_key(std::string_view key);

} // namespace camphorhitch::membership
