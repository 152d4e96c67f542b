/// \file
/// What the parts of a holder's side share.
#pragma once

#include "claims/claim_table.hpp"

namespace camphorhitch::claims
{

/// One message to answer.
struct claim_context
{
    std::uint64_t ticket = 0;
    std::uint32_t slot = 0;
    core::mono_time now{};
};

bool is_of(const remembered_key& known, const std::string& executor, std::uint64_t attempt);

pending_copy pending_for(const claim_table& table, copy_purpose purpose, const claim_context& at);

/// Sends the key's entry to the second holder; what follows is concluded when that has answered, or
/// at once when there is none.
claim_actions copy_entry(
    claim_table& table, pending_copy pending, const remembered_key& known, const claim_context& at);

} // namespace camphorhitch::claims
