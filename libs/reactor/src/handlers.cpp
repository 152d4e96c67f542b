#include "core/invariant.hpp"
#include "loop_state.hpp"

#include <ace/Time_Value.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace camphorhitch::reactor
{

timer_handler::timer_handler(ACE_Reactor& reactor) : ace_(reactor)
{
}

ports::timer_id timer_handler::after(core::millis delay, std::function<void()> fn)
{
    const auto id = ++last_id_;
    auto it = std::make_unique<timer>(timer{id, -1, std::move(fn)});
    ACE_Time_Value wait;
    wait.set(std::chrono::duration_cast<core::micros>(std::max(delay, {})));
    it->ace_id = ace_.schedule_timer(this, it.get(), wait);
    core::require(it->ace_id != -1, "a timer can be scheduled");
    timers_.emplace(id, std::move(it));
    return id;
}

void timer_handler::cancel(ports::timer_id id)
{
    const auto it = timers_.find(id);
    if (it != timers_.end())
    {
        ace_.cancel_timer(it->second->ace_id);
        timers_.erase(it);
    }
}

int timer_handler::handle_timeout(const ACE_Time_Value&, const void* argument)
{
    // cancel() removes a timer from ACE before it frees it, so the pointer is valid.
    const auto it = timers_.find(static_cast<const timer*>(argument)->id);
    const auto fn = std::move(it->second->fn);
    timers_.erase(it);
    fn();
    return 0;
}

post_handler::post_handler(ACE_Reactor& reactor) : ace_(reactor)
{
}

void post_handler::post(std::function<void()> fn)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        first = waiting_.empty();
        waiting_.push_back(std::move(fn));
    }
    if (first)
    {
        ace_.notify(this, ACE_Event_Handler::EXCEPT_MASK);
    }
}

int post_handler::handle_exception(ACE_HANDLE)
{
    std::vector<std::function<void()>> batch;
    {
        const std::lock_guard lock(mutex_);
        batch.swap(waiting_);
    }
    for (const auto& it : batch)
    {
        it();
    }
    return 0;
}

signal_handler::signal_handler()
{
    core::require(::pipe2(pipe_, O_NONBLOCK | O_CLOEXEC) == 0, "a pipe for signals can be opened");
}

signal_handler::~signal_handler()
{
    ::close(pipe_[0]);
    ::close(pipe_[1]);
}

int signal_handler::handle_signal(int number, siginfo_t*, ucontext_t*)
{
    // Runs in the signal context, where little else than write(2) is allowed. A full pipe already
    // holds thousands of signals, so a lost byte does no harm.
    const int saved = errno;
    const auto byte = static_cast<unsigned char>(number);
    [[maybe_unused]] const auto n = ::write(pipe_[1], &byte, 1);
    errno = saved;
    return 0;
}

int signal_handler::next() const
{
    unsigned char byte = 0;
    return ::read(pipe_[0], &byte, 1) == 1 ? byte : 0;
}

int signal_handler::read_end() const
{
    return pipe_[0];
}

} // namespace camphorhitch::reactor
