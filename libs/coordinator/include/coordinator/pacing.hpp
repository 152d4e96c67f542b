/// \file
/// Tasks that fill what others leave unused are slowed down before those that serve suffer.
///
/// A controller for each host, on the figures that its runner reports for the last half second:
/// over the high mark the fillers' share is halved, below the low mark it grows by steps. A pace
/// works within a tenth of a second and shows in the next half second's figure, so one change a
/// half second sees its own effect; from full speed four changes, two seconds, bring a share below
/// 5%.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

struct pace_action
{
    ports::runner_ref host;
    workflow::task_name task;
    std::int64_t run = 0;
    int percent = 100;
};

struct pacing_settings
{
    core::millis period{500}; ///< between changes on one host: what the figures cover
    double high = 0.85;       ///< of a target: above it fillers slow down
    double low = 0.6;         ///< of a target: when all are below it, fillers speed up
    int step = 15;            ///< percent that a share grows by
    int least = 5;            ///< percent; a share below it becomes 0
};

/// \return the changes that are due; notes them in \p f as ordered.
std::vector<pace_action> plan_paces(
    fleet& f, const pacing_settings& s, core::mono_time now, task_events& out);

/// \return how many runs on the host a new task of the step would disturb, or be disturbed by.
int disturbing_runs(const fleet& f, const host_entry& h, const workflow::step& s);

} // namespace camphorhitch::coordinator
