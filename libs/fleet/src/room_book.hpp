/// \file
/// The room that a wave's admissions take in the pools' budgets.
#pragma once

#include "wave_plan.hpp"

#include <string>
#include <unordered_map>

namespace camphorhitch::fleet
{

/// The pools as they will be when all that was admitted has left, for counting the room.
class room_book
{
public:
    explicit room_book(const wave_inputs& in);

    /// Marks \p h as absent if its pool has room. \return whether it had.
    bool take(const wave_host& h, const model::policy_config& p);

private:
    model::pool_document& draft_of(const std::string& pool);

    const wave_inputs& in_;
    int spares_; ///< that can be lent now
    std::unordered_map<std::string, model::pool_document> drafts_;
};

} // namespace camphorhitch::fleet
