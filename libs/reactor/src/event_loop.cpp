#include "reactor/event_loop.hpp"

#include "core/invariant.hpp"
#include "loop_state.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Select_Reactor.h>
#include <ace/Timer_Heap_T.h>
#include <ace/Timer_Queue_Adapters.h>

#include <cerrno>
#include <csignal>

namespace camphorhitch::reactor
{

namespace
{

/// Usual descriptors served in one turn. Each may take half a millisecond of a small host's
/// processor, so that a turn takes tens of milliseconds at most, whatever crowd is ready; the
/// kernel hands the others out next. What is urgent waited seconds behind such crowds.
constexpr int usual_at_once = 32;
/// More than a process has of them.
constexpr int urgent_at_once = watch_handler::most_at_once;

/// ACE's default queue follows the wall clock: a step of it would fire or starve every timer.
using monotonic_timers = ACE_Timer_Heap_T<ACE_Event_Handler*,
    ACE_Event_Handler_Handle_Timeout_Upcall,
    ACE_SYNCH_RECURSIVE_MUTEX,
    ACE_Monotonic_Time_Policy>;

/// Rounds each wait up to whole milliseconds. ACE's epoll reactor cuts off the part of a
/// millisecond, so before each timer it asked epoll again and again without waiting: 20,000 calls a
/// second, a fifth of a core, in an idle daemon. A timer is late by less than a millisecond for it,
/// and never early.
class whole_wait_timers : public monotonic_timers
{
public:
    using monotonic_timers::calculate_timeout;

    ACE_Time_Value* calculate_timeout(ACE_Time_Value* longest) override
    {
        return rounded(monotonic_timers::calculate_timeout(longest));
    }

    ACE_Time_Value* calculate_timeout(ACE_Time_Value* longest, ACE_Time_Value* found) override
    {
        return rounded(monotonic_timers::calculate_timeout(longest, found));
    }

private:
    static ACE_Time_Value* rounded(ACE_Time_Value* wait)
    {
        constexpr suseconds_t step = 1000; // microseconds
        const auto rest = wait == nullptr ? 0 : wait->usec() % step;
        if (rest > 0)
        {
            *wait += ACE_Time_Value(0, step - rest);
        }
        return wait;
    }
};

std::unique_ptr<ACE_Reactor_Impl> open_epoll(std::size_t most, ACE_Timer_Queue* timers)
{
    auto impl = std::make_unique<ACE_Dev_Poll_Reactor>(most, true, nullptr, timers);
    return impl->initialized() ? std::move(impl) : nullptr;
}

std::unique_ptr<ACE_Reactor_Impl> open_select(ACE_Timer_Queue* timers)
{
    auto impl = std::make_unique<ACE_Select_Reactor>(nullptr, timers);
    return impl->initialized() ? std::move(impl) : nullptr;
}

core::mono_time now()
{
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return core::mono_time{std::chrono::duration_cast<core::micros>(t)};
}

core::wall_time wall_now()
{
    const auto t = std::chrono::system_clock::now().time_since_epoch();
    return core::wall_time{std::chrono::duration_cast<core::millis>(t)};
}

} // namespace

loop_state::loop_state(
    std::unique_ptr<ACE_Timer_Queue> queue, std::unique_ptr<ACE_Reactor_Impl> implementation)
    : timer_queue(std::move(queue)),
      ace(std::make_unique<ACE_Reactor>(implementation.release(), true)), timers(*ace), posts(*ace),
      watches(*ace, usual_at_once), urgent_watches(*ace, urgent_at_once), turns(watches)
{
}

loop_state::~loop_state()
{
    for (const int number : signals.numbers)
    {
        ace->remove_handler(number, static_cast<ACE_Sig_Action*>(nullptr));
    }
    ace->purge_pending_notifications(&posts);
    ace->cancel_timer(&timers);
}

event_loop::event_loop(std::unique_ptr<loop_state> state) : state_(std::move(state))
{
}
event_loop::event_loop(event_loop&&) noexcept = default;
event_loop& event_loop::operator=(event_loop&&) noexcept = default;
event_loop::~event_loop() = default;

ports::scheduler event_loop::scheduler() const
{
    auto* const loop = state_.get();
    ports::scheduler out;
    out.now = now;
    out.wall_now = wall_now;
    out.post = [loop](std::function<void()> fn)
    {
        loop->posts.post(std::move(fn));
    };
    out.after = [loop](core::millis delay, std::function<void()> fn)
    {
        return loop->timers.after(delay, std::move(fn));
    };
    out.cancel = [loop](ports::timer_id id)
    {
        loop->timers.cancel(id);
    };
    return out;
}

void event_loop::run()
{
    while (!state_->stopping.exchange(false))
    {
        state_->ace->handle_events();
    }
}

void event_loop::run_once(core::millis longest_wait)
{
    ACE_Time_Value wait;
    wait.set(std::chrono::duration_cast<core::micros>(longest_wait));
    state_->ace->handle_events(&wait);
}

void event_loop::stop()
{
    state_->stopping = true;
    state_->posts.post([] {}); // wakes a loop that waits
}

void event_loop::watch_fd(int fd, bool read, bool write, fd_callback callback, urgency how)
{
    auto& watches = how == urgency::urgent ? state_->urgent_watches : state_->watches;
    if (read || write)
    {
        watches.watch(fd, read, write, std::move(callback));
    }
    else
    {
        watches.forget(fd);
    }
}

void event_loop::post_behind_descriptors(std::function<void()> fn)
{
    state_->turns.post(std::move(fn));
}

void event_loop::on_signals(
    const std::vector<int>& numbers, std::function<void(int number)> callback)
{
    auto& signals = state_->signals;
    signals.callback = std::move(callback);
    for (const int it : numbers)
    {
        signals.numbers.push_back(it);
        core::require(state_->ace->register_handler(it, &signals) == 0, "a signal can be handled");
    }
    watch_fd(signals.read_end(),
        true,
        false,
        [&signals](fd_events)
        {
            while (const int number = signals.next())
            {
                signals.callback(number);
            }
        });
}

event_loop_builder& event_loop_builder::most_descriptors(std::size_t n)
{
    most_descriptors_ = n;
    return *this;
}

event_loop_builder& event_loop_builder::use_select(bool on)
{
    use_select_ = on;
    return *this;
}

event_loop event_loop_builder::build() const
{
    // A peer that closes first must be an error of one write, not the end of the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<ACE_Timer_Queue> timers = std::make_unique<whole_wait_timers>();
    std::unique_ptr<ACE_Reactor_Impl> impl;
    if (!use_select_)
    {
        impl = open_epoll(most_descriptors_, timers.get());
    }
    if (!impl)
    {
        impl = open_select(timers.get());
    }
    core::require(impl != nullptr, "a reactor can be opened");
    return event_loop(std::make_unique<loop_state>(std::move(timers), std::move(impl)));
}

} // namespace camphorhitch::reactor
