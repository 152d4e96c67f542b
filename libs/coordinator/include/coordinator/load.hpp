/// \file
/// How much the coordinator has before it, and since when a task could have started.
#pragma once

#include "coordinator/fleet.hpp"

#include <cstdint>
#include <optional>

namespace camphorhitch::coordinator
{

/// Levels at one moment.
struct fleet_load
{
    std::int64_t tasks_waiting = 0;     ///< could start now and have no run
    std::int64_t jobs_only_ordered = 0; ///< as the function
    std::int64_t jobs_dirty = 0;        ///< their progress has to be stored
    std::int64_t hosts = 0;
    std::int64_t hosts_silent = 0;    ///< listed, and the latest poll was not answered
    std::int64_t hosts_lease_low = 0; ///< under a third of the runner's lease is left, not lapsed
};

/// \return jobs that wait and have starts ordered, of which no runner has answered one.
std::int64_t jobs_only_ordered(const fleet& f);

/// \param unix_ms wall time; tasks that are due later don't wait yet
fleet_load measure_load(const fleet& f, core::mono_time now, std::int64_t unix_ms);

/// \param unix_ms wall time that belongs to \p now
/// \return since when the task could have started: its job was taken in, the steps before it were
/// done, its time had come; nothing when it was started before in this term, or is not known.
std::optional<core::mono_time> ready_since(const fleet& f,
    const workflow::task_name& name,
    std::int64_t run,
    core::mono_time now,
    std::int64_t unix_ms);

} // namespace camphorhitch::coordinator
