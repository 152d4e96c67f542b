/// \file
/// Estimates the need of each pool: from waiting work, the rate at which work arrives, and the
/// expected start of its next busy period.
#pragma once

#include "coordinator/fleet.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// The resources in which the need of a pool is counted.
enum class need_rule
{
    cores, ///< cores only
    vector ///< cores, memory and accelerators
};

/// Time constants and factors of the estimate.
struct demand_settings
{
    need_rule needs = need_rule::cores;
    /// Work that cannot be in time, even if hosts came, counts only with late_work_share. Set
    /// together with placement_policy::forecasts.
    bool discounts_late_work = false;
    double late_work_share = 0.1;
    /// Waiting tasks should be done within about this time; longer tasks are expected to start at
    /// once.
    core::millis horizon{1300};
    /// Time constant of the measured rate of arriving work.
    core::millis rate_time_constant{800};
    /// Time constant of the slower rate that the measured rate is compared with to determine its
    /// trend.
    core::millis trend_time_constant{2400};
    /// The trend is extrapolated this far ahead: about the time of a move, the first report of the
    /// new runner and its first poll.
    core::millis trend_lookahead{2200};
    /// A trend raises a rate to at most this multiple of its present value, since a few large jobs
    /// that arrive together look like a steep trend.
    double max_trend_factor = 1.5;
    /// The more jobs show a trend, the less likely it is a coincidence. With this many jobs within
    /// the time constant of the rate, or more, the trend may raise the rate by trusted_factor times
    /// as much.
    double trusted_jobs = 20;
    double trusted_factor = 3;
    /// A pool becomes busy when work arrives at this multiple of its long-run rate.
    double busy_factor = 2.0;
    /// Jobs within the time constant of the rate that a busy period needs; one large job is not
    /// enough.
    double busy_jobs = 2.5;
    /// Time constant of the long-run rate, which spans several busy periods.
    core::millis long_time_constant{20000};
    /// Hosts are requested this long before the expected start of a busy period.
    core::millis busy_lead_time{2700};
    /// Share of the peak of a busy period that is requested at its start, since it rises over
    /// seconds.
    double initial_share = 0.3;
    /// Duration of the early phase of a busy period: hosts that are requested in it arrive before
    /// the peak.
    core::millis early_phase{2500};
    /// Minimum request in the early phase, as a share of the highest peak of any pool.
    double early_phase_share = 0.5;
    /// Factor on the computed need, since work arrives in bursts.
    double margin = 1.2;
};

/// Work that arrives at one pool, as rates in cores (core-seconds per second).
struct pool_arrivals
{
    /// With rate_time_constant.
    double fast_rate = 0;
    /// With trend_time_constant.
    double medium_rate = 0;
    /// With long_time_constant.
    double slow_rate = 0;
    double recent_jobs = 0; ///< jobs within the time constant of the fast rate
    double peak_rate = 0;   ///< highest fast_rate of the latest busy period
    core::mono_time updated_at;
    bool busy = false;
};

/// Start of a busy period of one pool.
struct busy_start
{
    std::string pool;
    core::mono_time at;
};

/// Measured demand of all pools.
struct demand
{
    demand_settings settings;
    std::map<std::string, pool_arrivals> pools;
    std::deque<busy_start> history; ///< busy periods of all pools, oldest first
};

/// Tasks of a pool with equal requirements.
struct task_group
{
    workflow::resources each;
    double tasks = 0;     ///< of batch tasks, the number that the pool's need has to run at once
    int max_per_host = 0; ///< 0: unbounded

    friend bool operator==(const task_group&, const task_group&) = default;
};

/// Present need of a pool.
struct pool_need
{
    double cores = 0;              ///< total, including long-running tasks
    double long_running_cores = 0; ///< of long-running tasks
    int min_hosts = 0; ///< minimum number of hosts for the spread of its long-running steps
    bool busy_expected = false; ///< the need is raised because a busy period is about to start
    workflow::resources long_running; ///< declared by its long-running tasks
    /// Of batch tasks: the rest of `cores`, with memory and accelerators in the ratio that its
    /// running and waiting batch tasks have; without any, in the ratio of its hosts.
    workflow::resources batch;
    std::vector<task_group> long_running_tasks; ///< those of the sum above
    /// Those of the sum above; empty with need_rule::cores, and for a pool without batch tasks.
    std::vector<task_group> batch_tasks;
};

/// Records the arrival of a job. Called once for each job.
/// \param core_seconds work of all its tasks
void record_arrival(demand& d, const std::string& pool, double core_seconds, core::mono_time now);

/// Resumes the measurement after a time in which no work could arrive or no coordinator decided.
/// The rates continue with their earlier values: if the gap counted as a time without work, hosts
/// would be sent away that callers need right after it.
void resume_demand(demand& d, core::mono_time now);

/// Lets the rates decay, and detects the start and end of busy periods.
void update_demand(demand& d, core::mono_time now);

/// \return the expected start of the pool's next busy period, derived from the order and the
/// intervals of earlier busy periods; nothing when they show no pattern.
std::optional<core::mono_time> next_busy_time(const demand& d, const std::string& pool);

/// \return the need of each pool.
std::map<std::string, pool_need> pool_needs(const fleet& f, const demand& d, core::mono_time now);

} // namespace camphorhitch::coordinator
