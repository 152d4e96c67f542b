/// \file
/// Tells how many jobs wait, and never what is older than callers accept: from the record of the
/// coordinating node where that is new enough, and else from it and the store's history since.
#pragma once

#include "hosted/entry_desk.hpp"
#include "pending_tally.hpp"
#include "revision_log.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

struct pending_ask;

/// What a node has read of the waiting jobs.
struct pending_view
{
    std::shared_ptr<revision_log> revisions = std::make_shared<revision_log>();
    pending_tally tally;
    ports::revision record = 0;             ///< last write of the tally's record; 0: there is none
    ports::revision store = 0;              ///< the store's, told by the latest reading
    std::optional<core::mono_time> read_at; ///< when it was last read, by the boot clock
    std::vector<std::shared_ptr<pending_ask>> asks; ///< that wait for the history
    bool reads_history = false;                     ///< or is about to
    int failed_readings = 0;                        ///< of the history, in a row
    core::mono_time next_reading;                   ///< of the history, by the boot clock
};

/// The answer comes by the deadline, also when a call hangs.
void count_pending(const std::shared_ptr<entry_state>& state,
    const std::string& queue,
    core::mono_time deadline,
    std::function<void(pending_answer)> done);

} // namespace camphorhitch::hosted
