/// \file
/// Time that passes only when a test lets it, and the processes that live in it.
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

/// Between any two processes, one way.
inline constexpr core::millis wire_delay{1};

/// One process: what reaches it while it is paused waits, and after its death is lost.
struct process
{
    bool paused = false;
    bool dead = false;
    bool store_cut = false; ///< no call reaches the key-value service or comes back
    bool peers_cut = false; ///< the same with other processes
    int lapses = 0; ///< times that it became unable to tell others what it does; by the test
    std::vector<std::function<void()>> waiting;

    void enter(std::function<void()> fn);
};

class virtual_time
{
public:
    core::mono_time now() const;
    /// Milliseconds since the start.
    std::int64_t passed_ms() const;
    core::wall_time wall_now() const;

    ports::timer_id after(core::millis delay, std::function<void()> fn);
    void cancel(ports::timer_id id);
    /// \return the port as \p p sees it; \p p and this object outlive it.
    ports::scheduler port(process& p);

    /// \return whether \p holds came true before \p bound had passed.
    bool run_until(const std::function<bool()>& holds, core::millis bound);
    void run_for(core::millis time);
    /// Lets the process go on, with what has waited for it first.
    void resume(process& p);

private:
    bool step(core::mono_time end);

    core::mono_time now_{core::millis{1'000'000}};
    ports::timer_id last_ = 0;
    std::map<std::pair<core::mono_time, ports::timer_id>, std::function<void()>> queue_;
    std::map<ports::timer_id, core::mono_time> due_;
    std::set<ports::timer_id> live_; ///< of ports: neither run nor cancelled
};

} // namespace camphorhitch::daemon_fakes
