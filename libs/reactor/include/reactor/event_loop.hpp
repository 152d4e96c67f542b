/// \file
/// The event loop of a process: time, timers, descriptors and signals on one thread, over ACE.
#pragma once

#include "ports/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace camphorhitch::reactor
{

/// What a descriptor is ready for.
struct fd_events
{
    bool readable = false;
    bool writable = false;
    bool failed = false; ///< error or hang-up; the loop watches the descriptor no more
};

using fd_callback = std::function<void(fd_events)>;

/// Which descriptors a loop that has more to do than time serves first.
enum class urgency
{
    usual,
    /// Others wait for it, or the process acts on what it says: leases, the store. Each turn serves
    /// all that are ready, however many usual ones are.
    urgent
};

class event_loop_builder;
struct loop_state;

/// Owns an ACE reactor. Must outlive the schedulers that it hands out; all members but stop(), and
/// the scheduler's post, belong to the thread that runs it.
class event_loop
{
public:
    using builder = event_loop_builder;

    event_loop(event_loop&&) noexcept;
    event_loop& operator=(event_loop&&) noexcept;
    ~event_loop();

    ports::scheduler scheduler() const;

    /// Runs until stop(), which may have been called before.
    void run();
    /// Handles the events that are there, or the first to come.
    /// \param longest_wait milliseconds to wait for one
    void run_once(core::millis longest_wait);
    /// Ends run(). Any thread may call it.
    void stop();

    /// Calls \p callback whenever \p fd is ready, level-triggered. A second call for the same
    /// descriptor replaces the first; without \p read and \p write it is watched no more. Call
    /// so before closing the descriptor.
    /// \param how the same in all calls for one descriptor
    void watch_fd(
        int fd, bool read, bool write, fd_callback callback, urgency how = urgency::usual);

    /// Runs \p fn when the loop comes to a descriptor that becomes ready now: behind those that are
    /// ready already. How late that is tells how long answers lie unread; no timer shows it.
    void post_behind_descriptors(std::function<void()> fn);

    /// Calls \p callback on the loop, outside of any signal context, when a signal comes.
    void on_signals(const std::vector<int>& numbers, std::function<void(int number)> callback);

private:
    friend class event_loop_builder;
    explicit event_loop(std::unique_ptr<loop_state> state);

    std::unique_ptr<loop_state> state_;
};

class event_loop_builder
{
public:
    /// \param n most descriptors that are watched at once
    event_loop_builder& most_descriptors(std::size_t n);
    /// Prefers the reactor over select(2) even where epoll is to be had.
    event_loop_builder& use_select(bool on);
    /// Opens the reactor; the process ignores SIGPIPE from then on.
    event_loop build() const;

private:
    std::size_t most_descriptors_ = 16384;
    bool use_select_ = false;
};

} // namespace camphorhitch::reactor
