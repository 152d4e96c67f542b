/// \file
/// Counts the waiting jobs of a queue, never from data older than callers accept. The count comes
/// from the coordinator's record if that is fresh enough, and otherwise from the record and the
/// store's change log since.
#pragma once

#include "hosted/job_request_handler.hpp"
#include "pending_tally.hpp"
#include "revision_log.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

struct pending_query;

/// Cached data from which a node counts the waiting jobs.
struct pending_count_cache
{
    std::shared_ptr<revision_log> revisions = std::make_shared<revision_log>();
    pending_tally tally;
    ports::revision record_revision = 0; ///< revision of the record in the tally; 0: there is none
    ports::revision latest_store_revision = 0; ///< store revision returned by the latest read
    std::optional<core::mono_time> read_at;    ///< time of the latest read, by the boot clock
    /// Queries that wait for the change log.
    std::vector<std::shared_ptr<pending_query>> waiting_queries;
    bool reading_change_log = false; ///< a read of the change log is in progress or scheduled
    int failed_change_log_reads = 0; ///< consecutive failed reads of the change log
    /// Earliest time of the next read of the change log, by the boot clock.
    core::mono_time next_change_log_read_at;
};

/// Counts the waiting jobs of a queue. \p done is called by the deadline, even if a store call
/// hangs.
void count_pending(const std::shared_ptr<job_request_state>& state,
    const std::string& queue,
    core::mono_time deadline,
    std::function<void(pending_answer)> done);

} // namespace camphorhitch::hosted
