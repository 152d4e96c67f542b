/// \file
/// Functions that the sources of the holders' side share.
#pragma once

#include "claims/claim_table.hpp"

namespace camphorhitch::claims
{

/// The message that is being handled.
struct message_context
{
    std::uint64_t ticket = 0;
    std::uint32_t slot = 0;
    core::mono_time now{};
};

bool belongs_to(const key_record& record, const std::string& executor, std::uint64_t attempt);

pending_copy make_pending_copy(
    const claim_table& table, copy_purpose purpose, const message_context& context);

/// Sends the key's entry to the second holder. The message is answered when the second holder has
/// acknowledged the copy, or at once when there is no second holder.
claim_actions copy_entry(claim_table& table,
    pending_copy pending,
    const key_record& record,
    const message_context& context);

} // namespace camphorhitch::claims
