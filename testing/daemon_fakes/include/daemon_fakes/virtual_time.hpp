/// \file
/// A simulated clock that advances only when a test runs it, and the processes scheduled on it.
#pragma once

#include "ports/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace camphorhitch::daemon_fakes
{

/// One-way delay of a message between any two processes.
inline constexpr core::millis wire_delay{1};

/// One process. Events for a paused process are queued; events for a dead process are discarded.
struct process
{
    bool paused = false;
    bool dead = false;
    bool store_cut = false; ///< the key-value service is unreachable in both directions
    bool peers_cut = false; ///< all other processes are unreachable in both directions
    /// Number of times that the process lost its lease, so that it can no longer report its
    /// requests to other members. The test counts it.
    int expirations = 0;
    std::vector<std::function<void()>> waiting; ///< events queued while the process is paused

    /// Runs \p fn in the process now, queues it if the process is paused, or discards it if dead.
    void enter(std::function<void()> fn);
};

/// The clock and the timers of all simulated processes.
class virtual_time
{
public:
    /// \return the monotonic time.
    core::mono_time now() const;
    /// \return the milliseconds since the start of the simulation.
    std::int64_t passed_ms() const;
    /// \return the wall time; the simulation starts on a Monday at 00:00 UTC.
    core::wall_time wall_now() const;

    /// Schedules \p fn, independent of any process.
    ports::timer_id after(core::millis delay, std::function<void()> fn);
    void cancel(ports::timer_id id);
    /// \return the port for process \p p; \p p and this object must outlive it.
    ports::scheduler port(process& p);

    /// Advances the clock by at most \p bound.
    /// \return whether \p condition became true before \p bound had passed.
    bool run_until(const std::function<bool()>& condition, core::millis bound);
    /// Advances the clock by \p time.
    void run_for(core::millis time);
    /// Continues a paused process and delivers its queued events.
    void resume(process& p);

private:
    bool step(core::mono_time end);

    core::mono_time now_{core::millis{1'000'000}};
    ports::timer_id last_ = 0;
    std::map<std::pair<core::mono_time, ports::timer_id>, std::function<void()>> queue_;
    std::map<ports::timer_id, core::mono_time> due_;
    std::set<ports::timer_id>
        active_timers_; ///< timers of ports that have neither run nor been cancelled
};

} // namespace camphorhitch::daemon_fakes
