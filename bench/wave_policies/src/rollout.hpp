/// \file
/// One wave over a whole fleet, from its start to its end.
#pragma once

#include "document_layouts.hpp"
#include "fleets.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// Faults during the wave.
enum class disturbance
{
    none,
    correlated ///< a rack goes down, and the next two hosts do not return from their reboot
};

/// A measured value and its lower bound.
struct measure
{
    double value = 0;
    double bound = 0; ///< lower bound; 0: none
};

/// Measurements of one wave.
struct rollout
{
    std::string fleet;
    std::string policy;
    disturbance with = disturbance::none;
    int hosts = 0;
    int done = 0;
    bool ended = false;
    measure roll_out_h;    ///< duration in hours
    measure buffer_hosts;  ///< largest number of hosts in reserve at once
    measure buffer_host_h; ///< host-hours in reserve during the roll-out
    measure job_moves;
    std::int64_t jobs_moved_again = 0; ///< moves of jobs that had moved before
    std::int64_t host_moves = 0;
    std::int64_t writes = 0;
    std::int64_t cut_off = 0;
    std::vector<std::string> violations;
    std::vector<layout_cost> layout_costs;
};

/// Runs one wave over the fleet.
/// \return the measurements.
rollout run_wave(const fleet_shape& shape,
    const measured_policy& policy,
    const work_settings& work,
    disturbance with);

/// Processor time of the decisions of one tick during a wave, with nothing to write.
struct round_time
{
    std::string fleet;
    int hosts = 0;
    int pools = 0;
    double all_pools_us = 0; ///< decisions for all pools, by one member that owns all of them
    double wave_us = 0;      ///< decision for the wave
};

/// \return the mean times over several rounds.
round_time time_round(const fleet_shape& shape, const measured_policy& policy);

/// \return the lower bound of a roll-out's duration in hours under any policy. The bound follows
/// from the number of hosts that the budgets of each pool and zone allow to reboot at the same
/// time.
double roll_out_bound_h(const std::vector<pool_shape>& pools, int zones, std::int64_t reboot_ms);

} // namespace camphorhitch::bench
