/// \file
/// Simulates one day of a fleet under a policy and measures how many jobs met their objective and
/// how many host-seconds that took.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/fleet.hpp"
#include "coordinator/rebalance.hpp"

#include <cstdint>
#include <string>

namespace camphorhitch::day_sim
{

/// Load and events of a day. The defaults describe a small fleet of which demand uses more than
/// half.
struct day_shape
{
    int hosts = 48;
    int pools = 4;                  ///< number of pools besides the standby pool
    core::millis length{52000};     ///< time in which jobs arrive
    core::millis drain_time{3000};  ///< additional time in which the last jobs can end
    core::millis busy_period{8000}; ///< time for which each pool is busy, one pool after another
    double busy_cores = 900;        ///< mean number of cores that the work of the busy pool uses
    double quiet_cores = 36;        ///< mean number of cores that the work of any other pool uses
    double job_core_seconds = 35;   ///< mean work of a job, which has two steps of 8 tasks
    core::millis task_time{900};    ///< declared run time of a task
    double time_factor = 2;         ///< upper bound of real run times, in declared run times
    double crashes_per_day = 0;     ///< mean number of host crashes, at random times
    core::millis move_time{1500};   ///< time that a host needs to start in another pool
    core::millis list_lag{250};     ///< delay until the host list shows a new host
    core::millis poll_lag{35};      ///< delay until the coordinator learns of the end of a task
    /// Share of the jobs whose tasks require large_task_memory_mb instead of 1,024 MB each.
    double large_memory_share = 0;
    std::int64_t large_task_memory_mb = 24576;
};

/// Settings of the coordinator that are compared.
struct day_policy
{
    std::string name;
    coordinator::placement_policy placement;
    bool moves = true; ///< false: hosts stay in their first pool, spread evenly
    coordinator::demand_settings demand;
    coordinator::rebalance_settings rebalance;
};

/// Measurements of one day.
struct day_result
{
    int jobs = 0;
    int in_time = 0;         ///< jobs completed within their objective
    int late = 0;            ///< jobs completed after their objective
    int unfinished = 0;      ///< jobs that were not completed at the end of the day
    int moves = 0;           ///< moves of hosts between pools
    double host_seconds = 0; ///< time that hosts spent in pools other than the standby pool
    double max_plan_ms = 0;  ///< longest processor time of a placement round
};

/// Simulates one day.
/// \return its measurements.
day_result simulate_day(const day_shape& shape, const day_policy& policy, std::uint64_t seed);

} // namespace camphorhitch::day_sim
