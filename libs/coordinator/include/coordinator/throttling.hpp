/// \file
/// Throttles best-effort tasks, which use the processor time that other tasks leave unused, before
/// they slow down tasks with a tail latency target.
///
/// Each host has a controller of its own, driven by the load metrics that its runner reports for
/// the last half second. Above the high mark the processor share of the best-effort tasks is
/// halved; below the low mark it grows in steps. A throttle order takes effect within a tenth of a
/// second and shows in the metric of the next half second, so one change per half second observes
/// its own effect. From full speed, four changes (two seconds) bring a share below 5%.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// A throttle order to be sent to a runner.
struct throttle_action
{
    ports::runner_ref host;
    workflow::task_name task;
    std::int64_t run = 0;
    /// Share of processor time, 0 to 100.
    int cpu_percent = 100;
};

/// Marks and steps of the controller.
struct throttling_settings
{
    core::millis interval{500}; ///< between changes on one host; the time that a load metric covers
    /// Share of a latency target above which best-effort tasks are slowed down.
    double high_mark = 0.85;
    /// Share of a latency target; best-effort tasks speed up when all tasks are below it.
    double low_mark = 0.6;
    int step = 15;       ///< percentage points by which a share grows
    int min_percent = 5; ///< percent; a smaller share becomes 0
};

/// \return the throttle orders that are due; records them in \p f as ordered.
std::vector<throttle_action> plan_throttling(
    fleet& f, const throttling_settings& s, core::mono_time now, task_events& out);

/// Applies the answer to a throttle order. If it may be carried out after newer ones, the share is
/// ordered again for a while.
void handle_throttle_answer(
    fleet& f, const throttle_action& a, const ports::runner_answer& answer, core::mono_time now);

/// \return number of runs on the host that would slow down a new task of the step, or be slowed
/// down by it.
int interfering_runs(const fleet& f, const host_entry& h, const workflow::step& s);

} // namespace camphorhitch::coordinator
