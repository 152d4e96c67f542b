/// \file
/// The coordinator's demand rates and run time estimates, stored for a successor. Without this
/// record the estimates would start from zero at each takeover, and hosts would be sent to standby
/// during a busy period, just when they are needed.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/run_time_estimates.hpp"
#include "coordinator/share_accounts.hpp"
#include "ports/metadata_store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

/// Serializes the record.
/// \param through_revision store revision of the newest job whose arrival is included
/// \param unix_ms wall-clock time that corresponds to \p now, because a successor has another
/// monotonic clock
/// \param shares largest first; rows that would make the record more than 3 KB longer are left out
std::string write_demand(const coordinator::demand& d,
    const coordinator::run_time_estimates& l,
    ports::revision through_revision,
    core::mono_time now,
    std::int64_t unix_ms,
    const std::vector<coordinator::share_row>& shares = {});

/// Reads a record into \p d and \p l; a damaged record changes nothing.
///
/// Store revisions, which all coordinators share, determine which arrivals are included in the
/// record. With times of day, a record written by a clock that is ahead would hide the arrivals
/// after it, and the record of a lagging coordinator would hide the arrivals that this coordinator
/// had not seen. The age of the record can be determined only from times of day. The clocks differ
/// by seconds, so the rates decay too far or not at all. The waiting work is counted from the jobs,
/// so this error never makes a pool appear idle.
/// \param written revision of the record itself
/// \return the revision up to which arrivals are included in the record; \p written if the record
/// contains none, as records of the previous version do, or a later one; 0 if the record is damaged
ports::revision read_demand(const std::string& text,
    ports::revision written,
    coordinator::demand& d,
    coordinator::run_time_estimates& l,
    core::mono_time now,
    std::int64_t unix_ms);

/// Accounts of shares, as they were stored.
struct stored_shares
{
    std::vector<coordinator::share_row> rows;
    core::mono_time at; ///< when they were made, on the own clock
};

/// Reads the accounts of shares from the same record.
/// \return no rows for a record without them, as the previous version writes it; nothing for a
/// damaged record
std::optional<stored_shares> read_shares(
    const std::string& text, core::mono_time now, std::int64_t unix_ms);

} // namespace camphorhitch::hosted
