/// \file
/// The walk back over former rosters: from whom can a slot's state be learnt?
#pragma once

#include "claims/claim_table.hpp"

namespace camphorhitch::claims
{

/// Where the walk ended.
struct walk_end
{
    bool whole = false;         ///< all that older epochs granted is known here
    core::mono_time deadline{}; ///< otherwise: when whatever is missing has been forgotten
    std::vector<model::member_record> ask; ///< processes whose word would lead on
};

/// From the newest former roster back. An epoch is settled when
/// - somebody held the slot whole through it: then its entries are here, and the walk is at its
/// end;
/// - one of its two holders did not hold the slot whole in it, and can't any more: without that one
///   nothing was granted in it, so the walk goes on to the epoch before.
/// With neither the walk is stuck there.
walk_end walk_back(const claim_table& table, std::uint32_t slot);

} // namespace camphorhitch::claims
