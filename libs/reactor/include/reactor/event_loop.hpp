/// \file
/// The event loop of a process: clocks, timers, file descriptors and signals on one thread, based
/// on ACE.
#pragma once

#include "ports/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace camphorhitch::reactor
{

/// Operations that a descriptor is ready for.
struct fd_events
{
    bool readable = false;
    bool writable = false;
    bool failed = false; ///< error or hang-up; the loop has stopped watching the descriptor
};

using fd_callback = std::function<void(fd_events)>;

/// Priority of a descriptor when the loop is overloaded.
enum class urgency
{
    normal,
    /// For connections that others wait for or whose data decides what the process does: leases and
    /// the store. Each iteration handles all urgent descriptors that are ready, regardless of the
    /// number of normal ones.
    urgent
};

class event_loop_builder;
struct loop_state;

/// An event loop over an ACE reactor. The loop must outlive the schedulers that it returns. Only
/// stop(), and post() of a scheduler, may be called from other threads than the one that runs the
/// loop.
class event_loop
{
public:
    using builder = event_loop_builder;

    event_loop(event_loop&&) noexcept;
    event_loop& operator=(event_loop&&) noexcept;
    ~event_loop();

    /// \return the port to the loop's clocks, timers and posts.
    ports::scheduler scheduler() const;

    /// Runs until stop() is called. Returns at once when stop() was called before.
    void run();
    /// Runs one iteration: handles the pending events, or waits for the first.
    /// \param max_wait maximum time to wait
    void run_once(core::millis max_wait);
    /// Ends run(). Any thread may call it.
    void stop();

    /// Calls \p callback whenever \p fd is ready (level-triggered). A second call for the same
    /// descriptor replaces the first. With neither \p read nor \p write, the loop stops watching
    /// the descriptor, which is required before it is closed.
    /// \param priority must be the same in all calls for one descriptor
    void watch_fd(
        int fd, bool read, bool write, fd_callback callback, urgency priority = urgency::normal);

    /// Runs \p fn at the time at which the loop would handle a descriptor that becomes ready now,
    /// which is after the descriptors that are ready already. The delay measures how long received
    /// answers wait to be read, which no timer measures.
    void post_behind_descriptors(std::function<void()> fn);

    /// Calls \p callback on the loop, outside of any signal context, when one of the signals is
    /// received.
    void on_signals(const std::vector<int>& numbers, std::function<void(int number)> callback);

    /// \return whether the loop uses epoll; otherwise it uses select(2), which serves no descriptor
    /// from 1024 on.
    bool uses_epoll() const;

private:
    friend class event_loop_builder;
    explicit event_loop(std::unique_ptr<loop_state> state);

    std::unique_ptr<loop_state> state_;
};

/// Creates an event loop.
class event_loop_builder
{
public:
    /// \param n maximum number of descriptors that ACE watches at the same time; bounded by the
    /// process's own limit
    event_loop_builder& max_descriptors(std::size_t n);
    /// Uses the reactor that is based on select(2) even when epoll is available.
    event_loop_builder& use_select(bool on);
    /// Opens the reactor. From then on the process ignores SIGPIPE.
    event_loop build() const;

private:
    std::size_t max_descriptors_ = 16384;
    bool use_select_ = false;
};

} // namespace camphorhitch::reactor
