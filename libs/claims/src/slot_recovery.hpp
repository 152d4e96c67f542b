/// \file
/// Recovery of a slot's state from the holders of former rosters.
#pragma once

#include "claims/claim_table.hpp"

namespace camphorhitch::claims
{

/// How far the recovery of a slot's state has come.
struct recovery_status
{
    bool complete = false; ///< all grants of older epochs are stored here
    /// when not complete: time at which all missing grants have expired
    core::mono_time quarantine_end{};
    /// processes whose report could resolve the next epoch
    std::vector<model::member_record> holders_to_ask;
};

/// Goes through the former rosters from the newest to the oldest. An epoch is resolved when
/// - some member was complete through it: then its entries have been merged here, and the search
///   ends;
/// - one of its two holders was not complete in it and can't become so any more: without that
///   holder nothing was granted in the epoch, and the search continues with the epoch before it.
///
/// The search stops at the first epoch that meets neither condition.
recovery_status evaluate_recovery(const claim_table& table, std::uint32_t slot);

} // namespace camphorhitch::claims
