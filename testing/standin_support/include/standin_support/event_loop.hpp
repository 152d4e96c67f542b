/// \file
/// One thread's loop over descriptors and timers. A stand-in does all its work on it, so that its
/// state needs no lock.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace camphorhitch::standin_support
{

class event_loop
{
public:
    using action = std::function<void()>;
    /// \param events the epoll events that came.
    using descriptor_action = std::function<void(std::uint32_t events)>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    core::mono_time now() const;

    /// Runs \p act once, \p delay from now; equal times run in the order of the calls.
    void after(core::millis delay, action act);

    /// Runs \p act every \p interval for as long as the loop lives.
    void every(core::millis interval, action act);

    /// Calls \p act when one of \p events (epoll's bits) comes to \p fd.
    void watch(int fd, std::uint32_t events, descriptor_action act);
    void forget(int fd);

    /// A library with a loop of its own.
    struct driver
    {
        action run;                                           ///< called at every turn
        std::function<std::optional<core::millis>()> timeout; ///< longest sleep that it allows
    };
    void set_driver(driver d);

    /// One turn: sleeps up to \p longest for the next event, then does what is due.
    void turn(core::millis longest);

    /// Turns until stop().
    void run();
    void stop();

private:
    struct watched
    {
        int fd = -1;
        descriptor_action act;
    };

    int sleep_bound(core::millis longest) const;
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
