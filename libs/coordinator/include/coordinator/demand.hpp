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
    /// Tasks that wait should be done within about this long; longer ones start at once.
    core::millis horizon{1300};
    /// Time constant of the measured rate of arriving work.
    core::millis rate_memory{800};
    /// Time constant of the rate against which its trend is seen.
    core::millis trend_memory{2400};
    /// The trend is followed this far ahead: a move, the new runner's first report and its first
    /// look take about so long.
    core::millis foresight{2200};
    /// A trend raises a rate to this many times its present value at most: few large jobs that come
    /// together look like a steep one.
    double steepest = 1.5;
    /// The more jobs show a trend, the less it is their chance: with so many within the rate's
    /// memory or more it may raise the rate by trusted_factor times as much.
    double trusted_jobs = 20;
    double trusted_factor = 3;
    /// A pool is busy while work comes at this many times its long-run rate.
    double busy_factor = 2.0;
    /// Jobs within the rate's memory that make a busy time; one large job makes none.
    double busy_jobs = 2.5;
    /// Time constant of the long-run rate; several busy times long.
    core::millis long_memory{20000};
    /// A busy time is expected this long ahead.
    core::millis lead{2700};
    /// Share of a busy time's peak that its begin asks for: it rises over seconds.
    double first_share = 0.3;
    /// A busy time is young for so long: hosts that are asked for then come in time for its peak.
    core::millis young{2500};
    /// Share of the highest peak of any pool that a young busy time asks for at least.
    double young_share = 0.5;
    /// Room above the computed need, since work comes in lumps.
    double margin = 1.2;
};

/// Work that arrives at one pool, as rates in cores (core-seconds a second).
struct pool_arrivals
{
    double fast = 0;
    double middle = 0;
    double slow = 0;
    double jobs = 0; ///< within the fast rate's memory
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

/// Work could not come in, or nobody could decide on it, until now: rates are as when that began.
/// Taken for quiet, the time without would send the hosts away that callers are about to need.
void resume_demand(demand& d, core::mono_time now);

/// Lets rates decay, and notes where busy times begin and end.
void update_demand(demand& d, core::mono_time now);

/// \return when the pool's next busy time is expected to begin, from the order and the distance of
/// those before; nothing when no pattern shows.
std::optional<core::mono_time> next_busy(const demand& d, const std::string& pool);

/// \return cores that the job's batch tasks take now, and those that its ready ones would take to
/// be done within the horizon. Tasks of later steps don't count: more hosts would not hasten them.
double cores_now(const fleet& f, const demand_settings& d, const job_entry& j);

/// \return each pool's need.
std::map<std::string, pool_need> pool_needs(const fleet& f, const demand& d, core::mono_time now);

} // namespace camphorhitch::coordinator
