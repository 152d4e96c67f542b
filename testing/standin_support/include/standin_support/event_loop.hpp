/// \file
/// A single-threaded loop over descriptors and timers. A stand-in does all its work on one loop, so
/// its state needs no locks.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace camphorhitch::standin_support
{

/// The loop.
class event_loop
{
public:
    using action = std::function<void()>;
    /// \param events the epoll events that occurred
    using descriptor_action = std::function<void(std::uint32_t events)>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    core::mono_time now() const;

    /// Runs \p callback once, \p delay from now. Actions of the same time run in the order of the
    /// calls.
    void after(core::millis delay, action callback);

    /// Runs \p callback every \p interval until the loop is destroyed.
    void every(core::millis interval, action callback);

    /// Calls \p callback when one of \p events (epoll's bits) occurs on \p fd.
    void watch(int fd, std::uint32_t events, descriptor_action callback);
    /// Ends the watch of \p fd, if there is one.
    void unwatch(int fd);

    /// Hooks of a library that needs to run in each iteration.
    struct driver
    {
        action run; ///< called in each iteration
        /// \return the longest time that the loop may sleep, or nothing for no limit
        std::function<std::optional<core::millis>()> timeout;
    };
    void set_driver(driver d);

    /// Runs one iteration: waits for the next event, at most \p max_wait, then runs all due
    /// actions.
    void run_once(core::millis max_wait);

    /// Runs iterations until stop().
    void run();
    void stop();

private:
    struct watched
    {
        int fd = -1;
        descriptor_action callback;
    };

    int sleep_bound(core::millis max_wait) const;
    void run_due();

    int epoll_ = -1;
    bool stopped_ = false;
    std::uint64_t last_token_ = 0;
    std::map<std::uint64_t, std::shared_ptr<watched>> watched_;
    std::map<int, std::uint64_t> tokens_;
    std::multimap<core::mono_time, action> timers_;
    driver driver_;
};

} // namespace camphorhitch::standin_support
