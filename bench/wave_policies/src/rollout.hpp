/// \file
/// One wave over a whole fleet, from its start to its end.
#pragma once

#include "document_cuts.hpp"
#include "fleets.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// What happens beside the wave.
enum class trouble
{
    none,
    correlated ///< a rack goes down, and two hosts running don't come back from their reboot
};

struct measure
{
    double value = 0;
    double bound = 0; ///< lower; 0: none
};

struct rollout
{
    std::string fleet;
    std::string policy;
    trouble with = trouble::none;
    int hosts = 0;
    int done = 0;
    bool ended = false;
    measure roll_out_h;    ///< hours
    measure buffer_hosts;  ///< most hosts held back at once
    measure buffer_host_h; ///< host-hours held back during the roll-out
    measure job_moves;
    std::int64_t jobs_moved_again = 0; ///< moves of jobs that had moved before
    std::int64_t host_moves = 0;
    std::int64_t writes = 0;
    std::int64_t cut_off = 0;
    std::vector<std::string> violations;
    std::vector<cut_cost> cuts;
};

rollout run_wave(const fleet_shape& shape,
    const measured_policy& policy,
    const work_settings& work,
    trouble with);

/// CPU time of the decisions of one tick in the midst of a wave, with nothing to write.
struct round_time
{
    std::string fleet;
    int hosts = 0;
    int pools = 0;
    double all_pools_us = 0; ///< every pool's decision, as if one member owned them all
    double wave_us = 0;      ///< the wave's decision
};

round_time time_round(const fleet_shape& shape, const measured_policy& policy);

/// \return hours that a roll-out takes at least, whatever the policy: the budgets of each pool and
/// zone let so many hosts reboot at once.
double roll_out_bound_h(const std::vector<pool_shape>& pools, int zones, std::int64_t reboot_ms);

} // namespace camphorhitch::bench
