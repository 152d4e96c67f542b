#include "reactor/event_loop.hpp"

#include "core/invariant.hpp"
#include "loop_state.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Select_Reactor.h>
#include <ace/Timer_Heap_T.h>
#include <ace/Timer_Queue_Adapters.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <sys/resource.h>

namespace camphorhitch::reactor
{

namespace
{

/// Maximum number of normal descriptors handled in one iteration. Each may take half a millisecond
/// of processor time on a small host, so that an iteration takes tens of milliseconds at most,
/// regardless of how many are ready. The kernel returns the others in the next iterations. Without
/// this limit, urgent descriptors wait for seconds.
constexpr int max_normal_events = 32;
/// More than the number of urgent descriptors of a process.
constexpr int max_urgent_events = watch_handler::max_events_per_call;

/// A timer queue on the monotonic clock. ACE's default queue uses the wall clock, so that a clock
/// step would fire all timers or delay them.
using monotonic_timers = ACE_Timer_Heap_T<ACE_Event_Handler*,
    ACE_Event_Handler_Handle_Timeout_Upcall,
    ACE_SYNCH_RECURSIVE_MUTEX,
    ACE_Monotonic_Time_Policy>;

/// Rounds each wait up to whole milliseconds. ACE's epoll reactor truncates the fraction of a
/// millisecond, and therefore calls epoll repeatedly without waiting before each timer: 20,000
/// calls per second, a fifth of a core, in an idle daemon. With rounding, a timer is late by less
/// than a millisecond, and never early.
class whole_millisecond_timers : public monotonic_timers
{
public:
    using monotonic_timers::calculate_timeout;

    ACE_Time_Value* calculate_timeout(ACE_Time_Value* max_wait) override
    {
        return round_up(monotonic_timers::calculate_timeout(max_wait));
    }

    ACE_Time_Value* calculate_timeout(ACE_Time_Value* max_wait, ACE_Time_Value* found) override
    {
        return round_up(monotonic_timers::calculate_timeout(max_wait, found));
    }

private:
    static ACE_Time_Value* round_up(ACE_Time_Value* wait)
    {
        constexpr suseconds_t step = 1000; // microseconds
        const auto fraction = wait == nullptr ? 0 : wait->usec() % step;
        if (fraction > 0)
        {
            *wait += ACE_Time_Value(0, step - fraction);
        }
        return wait;
    }
};

/// \return \p n, or the process's limit of descriptors if that is lower: ACE opens no reactor for
/// more of them.
std::size_t within_process_limit(std::size_t n)
{
    rlimit limit{};
    const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
    return known ? std::min<std::size_t>(n, limit.rlim_max) : n;
}

std::unique_ptr<ACE_Reactor_Impl> open_epoll(std::size_t max_descriptors, ACE_Timer_Queue* timers)
{
    auto impl = std::make_unique<ACE_Dev_Poll_Reactor>(max_descriptors, true, nullptr, timers);
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
      watches(*ace, max_normal_events), urgent_watches(*ace, max_urgent_events),
      behind_descriptors(watches)
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

void event_loop::run_once(core::millis max_wait)
{
    ACE_Time_Value wait;
    wait.set(std::chrono::duration_cast<core::micros>(max_wait));
    state_->ace->handle_events(&wait);
}

void event_loop::stop()
{
    state_->stopping = true;
    state_->posts.post([] {}); // wakes the loop when it is waiting
}

void event_loop::watch_fd(int fd, bool read, bool write, fd_callback callback, urgency priority)
{
    auto& watches = priority == urgency::urgent ? state_->urgent_watches : state_->watches;
    if (read || write)
    {
        watches.watch(fd, read, write, std::move(callback));
    }
    else
    {
        watches.unwatch(fd);
    }
}

void event_loop::post_behind_descriptors(std::function<void()> fn)
{
    state_->behind_descriptors.post(std::move(fn));
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

bool event_loop::uses_epoll() const
{
    return state_->uses_epoll;
}

event_loop_builder& event_loop_builder::max_descriptors(std::size_t n)
{
    max_descriptors_ = n;
    return *this;
}

event_loop_builder& event_loop_builder::use_select(bool on)
{
    use_select_ = on;
    return *this;
}

event_loop event_loop_builder::build() const
{
    // A write to a connection that the peer has closed must fail without terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<ACE_Timer_Queue> timers = std::make_unique<whole_millisecond_timers>();
    std::unique_ptr<ACE_Reactor_Impl> impl;
    if (!use_select_)
    {
        impl = open_epoll(within_process_limit(max_descriptors_), timers.get());
    }
    const bool uses_epoll = impl != nullptr;
    if (!impl)
    {
        impl = open_select(timers.get());
    }
    core::require(impl != nullptr, "a reactor can be opened");
    auto state = std::make_unique<loop_state>(std::move(timers), std::move(impl));
    state->uses_epoll = uses_epoll;
    return event_loop(std::move(state));
}

} // namespace camphorhitch::reactor
