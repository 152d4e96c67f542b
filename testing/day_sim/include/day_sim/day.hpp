/// \file
/// Plays days of a fleet under a policy, and tells how callers were served and at what cost.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/fleet.hpp"
#include "coordinator/rebalance.hpp"

#include <cstdint>
#include <string>

namespace camphorhitch::day_sim
{

/// What happens in a day. Sizes are of a small fleet of which demand takes more than half.
struct day_shape
{
    int hosts = 48;
    int pools = 4; ///< beside the standby pool
    core::millis length{52000};
    core::millis rest{3000};      ///< played on after it, for the last jobs
    core::millis turn{8000};      ///< how long each pool in turn is busy
    double busy_cores = 900;      ///< that a busy pool's work takes, on average
    double quiet_cores = 36;      ///< that another pool's work takes
    double job_core_seconds = 35; ///< of a job of two steps of 8 tasks, on average
    core::millis task_time{900};
    double time_factor = 2;   ///< real run times lie between declared ones and this many times them
    double crashes_a_day = 0; ///< of hosts, at random times
    core::millis move_time{1500};
    core::millis list_lag{250}; ///< until a new host is known
    core::millis poll_lag{35};  ///< until an end is known
};

struct day_policy
{
    std::string name;
    coordinator::placement_policy placement;
    bool moves = true; ///< false: hosts stay where the day began, evenly
    coordinator::demand_settings demand;
    coordinator::rebalance_settings rebalance;
};

struct day_result
{
    int jobs = 0;
    int in_time = 0;
    int late = 0;     ///< done after their objective
    int not_done = 0; ///< at the end of the day
    int moves = 0;
    double host_seconds = 0;    ///< of hosts in pools
    double longest_plan_ms = 0; ///< processor time of one placement round
};

/// \return what became of one day.
day_result play_day(const day_shape& shape, const day_policy& policy, std::uint64_t seed);

} // namespace camphorhitch::day_sim
