/// \file
/// Implementation of event_loop: the ACE reactor and the handlers that it calls.
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

/// The watched descriptors of one urgency, in a separate epoll set that ACE sees as one readable
/// descriptor.
///
/// Descriptors are not registered with ACE individually. curl 7.88 closes a socket that has not
/// connected before it reports that, and ACE can't unregister a closed descriptor, so that it would
/// call a freed handler when the descriptor number is reused. The kernel removes a closed
/// descriptor from an epoll set by itself.
class watch_handler : public ACE_Event_Handler
{
public:
    static constexpr int max_events_per_call = 64;

    /// \param max_events maximum number of events handled in one iteration; at most
    /// max_events_per_call
    watch_handler(ACE_Reactor& reactor, int max_events);
    ~watch_handler() override;
    watch_handler(const watch_handler&) = delete;
    watch_handler& operator=(const watch_handler&) = delete;

    /// Watches a descriptor, or changes what it is watched for.
    void watch(int fd, bool read, bool write, fd_callback callback);
    void unwatch(int fd);
    int handle_input(ACE_HANDLE fd) override;

private:
    struct watched
    {
        std::uint32_t generation = 0; ///< distinguishes the uses of a reused descriptor number
        std::uint32_t wanted = 0;     ///< epoll event bits
        std::shared_ptr<const fd_callback> callback;
    };

    void update_epoll(int operation, int fd, const watched& it) const;
    void dispatch(std::uint64_t tag, std::uint32_t events);

    ACE_Reactor& ace_;
    int epoll_;
    int max_events_; ///< per call of handle_input
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

/// Functions that were posted to the loop, also from other threads.
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

/// Writes received signals as bytes into a pipe that the loop reads.
class signal_handler : public ACE_Event_Handler
{
public:
    signal_handler();
    ~signal_handler() override;
    signal_handler(const signal_handler&) = delete;
    signal_handler& operator=(const signal_handler&) = delete;

    int handle_signal(int number, siginfo_t* info, ucontext_t* context) override;
    /// \return the number of the next received signal; 0: none.
    int next() const;
    int read_end() const;

    std::function<void(int)> callback;
    std::vector<int> numbers;

private:
    int pipe_[2] = {-1, -1};
};

/// Functions that run in the order in which the loop handles ready descriptors. While functions are
/// waiting, a byte in a pipe makes the read end of the pipe one of these descriptors.
class descriptor_queue
{
public:
    explicit descriptor_queue(watch_handler& watches);
    ~descriptor_queue();
    descriptor_queue(const descriptor_queue&) = delete;
    descriptor_queue& operator=(const descriptor_queue&) = delete;

    void post(std::function<void()> fn);

private:
    void run();

    watch_handler& watches_;
    int pipe_[2] = {-1, -1};
    std::vector<std::function<void()>> waiting_;
};

/// State of an event loop.
struct loop_state
{
    loop_state(
        std::unique_ptr<ACE_Timer_Queue> queue, std::unique_ptr<ACE_Reactor_Impl> implementation);
    ~loop_state();
    loop_state(const loop_state&) = delete;
    loop_state& operator=(const loop_state&) = delete;

    std::unique_ptr<ACE_Timer_Queue> timer_queue; ///< used by the reactor, which it must outlive
    std::unique_ptr<ACE_Reactor> ace;
    timer_handler timers;
    post_handler posts;
    watch_handler watches;
    watch_handler urgent_watches;
    descriptor_queue behind_descriptors;
    signal_handler signals;
    std::atomic<bool> stopping{false};
    bool uses_epoll = false;
};

} // namespace camphorhitch::reactor
