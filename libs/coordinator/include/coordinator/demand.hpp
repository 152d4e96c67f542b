/// \file
/// What each pool asks for: the work that waits, the rate at which it comes, and when its next busy
/// time is expected.
#pragma once

#include "coordinator/fleet.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace camphorhitch::coordinator
{

struct demand_settings
{
    /// Waiting work should be done within about this long: a chain of two tasks of a second.
    core::millis horizon{1600};
    /// Time constant of the measured rate of arriving work.
    core::millis rate_memory{700};
    /// A pool is busy while work comes at this many times its long-run rate.
    double busy_factor = 2.0;
    /// Time constant of the long-run rate; several busy times long.
    core::millis long_memory{20000};
    /// A busy time is expected this long ahead: a move, the new runner's first report and its first
    /// look take about so long.
    core::millis lead{2700};
    /// Room above the computed need, since work comes in lumps.
    double margin = 1.15;
};

/// Work that arrives at one pool, as rates in cores (core-seconds a second).
struct pool_arrivals
{
    double fast = 0;
    double slow = 0;
    double peak = 0; ///< highest fast rate of the latest busy time
    core::mono_time updated;
    bool busy = false;
};

/// The begin of one pool's busy time.
struct busy_begin
{
    std::string pool;
    core::mono_time at;
};

struct demand
{
    demand_settings settings;
    std::map<std::string, pool_arrivals> pools;
    std::deque<busy_begin> history; ///< of all pools, oldest first
};

/// What a pool needs now.
struct pool_need
{
    double cores = 0;         ///< in all, the long-running tasks included
    double lasting_cores = 0; ///< of long-running tasks
    int least_hosts = 0;      ///< that its long-running steps must be spread over
    bool expected = false;    ///< raised because its busy time is about to begin
};

/// Work comes in: call once a job.
/// \param core_seconds of all its tasks
void note_arrival(demand& d, const std::string& pool, double core_seconds, core::mono_time now);

/// Lets rates decay, and notes where busy times begin and end.
void update_demand(demand& d, core::mono_time now);

/// \return when the pool's next busy time is expected to begin, from the order and the distance of
/// those before; nothing when no pattern shows.
std::optional<core::mono_time> next_busy(const demand& d, const std::string& pool);

/// \return core-seconds of all batch tasks of a job that are not done, by learnt run times.
double open_work(const fleet& f, const job_entry& j);

/// \return each pool's need.
std::map<std::string, pool_need> pool_needs(const fleet& f, const demand& d, core::mono_time now);

} // namespace camphorhitch::coordinator
