/// \file
/// Inside of event_loop: the ACE reactor and the handlers that it calls.
#pragma once

#include "core/time.hpp"
#include "ports/scheduler.hpp"
#include "reactor/event_loop.hpp"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Reactor_Impl.h>
#include <ace/Timer_Queue.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace camphorhitch::reactor
{

/// Watched descriptors of one urgency, in an epoll set of their own that ACE sees as one readable
/// descriptor.
///
/// Not one ACE handler each: curl 7.88 closes a socket that has not connected before it says so,
/// and ACE can't forget a closed descriptor: it would call a freed handler when the number comes
/// back. The kernel forgets it by itself.
class watch_handler : public ACE_Event_Handler
{
public:
    static constexpr int most_at_once = 64;

    /// \param most events handled in one turn; at most most_at_once
    watch_handler(ACE_Reactor& reactor, int most);
    ~watch_handler() override;
    watch_handler(const watch_handler&) = delete;
    watch_handler& operator=(const watch_handler&) = delete;

    void watch(int fd, bool read, bool write, fd_callback callback);
    void forget(int fd);
    int handle_input(ACE_HANDLE fd) override;

private:
    struct watched
    {
        std::uint32_t generation = 0; ///< tells a reused number from what it was before
        std::uint32_t wanted = 0;     ///< epoll's bits
        std::shared_ptr<const fd_callback> callback;
    };

    void put(int operation, int fd, const watched& it) const;
    void dispatch(std::uint64_t tag, std::uint32_t events);

    ACE_Reactor& ace_;
    int epoll_;
    int most_;
    std::uint32_t last_generation_ = 0;
    std::unordered_map<int, watched> watched_;
};

/// All timers of a loop.
class timer_handler : public ACE_Event_Handler
{
public:
    explicit timer_handler(ACE_Reactor& reactor);

    ports::timer_id after(core::millis delay, std::function<void()> fn);
    void cancel(ports::timer_id id);
    int handle_timeout(const ACE_Time_Value& now, const void* argument) override;

private:
    struct timer
    {
        ports::timer_id id = 0;
        long ace_id = -1;
        std::function<void()> fn;
    };
    ACE_Reactor& ace_;
    ports::timer_id last_id_ = 0;
    std::unordered_map<ports::timer_id, std::unique_ptr<timer>> timers_;
};

/// Functions that other threads handed over.
class post_handler : public ACE_Event_Handler
{
public:
    explicit post_handler(ACE_Reactor& reactor);

    void post(std::function<void()> fn);
    int handle_exception(ACE_HANDLE fd) override;

private:
    ACE_Reactor& ace_;
    std::mutex mutex_;
    std::vector<std::function<void()>> waiting_;
};

/// Turns signals into bytes of a pipe that the loop reads.
class signal_handler : public ACE_Event_Handler
{
public:
    signal_handler();
    ~signal_handler() override;
    signal_handler(const signal_handler&) = delete;
    signal_handler& operator=(const signal_handler&) = delete;

    int handle_signal(int number, siginfo_t* info, ucontext_t* context) override;
    /// \return the next signal that came, or 0.
    int next() const;
    int read_end() const;

    std::function<void(int)> callback;
    std::vector<int> numbers;

private:
    int pipe_[2] = {-1, -1};
};

/// Functions that wait for their turn among the descriptors: a byte in a pipe stands for them.
class turn_pipe
{
public:
    explicit turn_pipe(watch_handler& watches);
    ~turn_pipe();
    turn_pipe(const turn_pipe&) = delete;
    turn_pipe& operator=(const turn_pipe&) = delete;

    void post(std::function<void()> fn);

private:
    void run();

    watch_handler& watches_;
    int pipe_[2] = {-1, -1};
    std::vector<std::function<void()>> waiting_;
};

struct loop_state
{
    loop_state(
        std::unique_ptr<ACE_Timer_Queue> queue, std::unique_ptr<ACE_Reactor_Impl> implementation);
    ~loop_state();
    loop_state(const loop_state&) = delete;
    loop_state& operator=(const loop_state&) = delete;

    std::unique_ptr<ACE_Timer_Queue> timer_queue; ///< outlives the reactor, which borrows it
    std::unique_ptr<ACE_Reactor> ace;
    timer_handler timers;
    post_handler posts;
    watch_handler watches;
    watch_handler urgent_watches;
    turn_pipe turns;
    signal_handler signals;
    std::atomic<bool> stopping{false};
};

} // namespace camphorhitch::reactor
