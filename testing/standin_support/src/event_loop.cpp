#include "standin_support/event_loop.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace camphorhitch::standin_support
{

namespace
{

constexpr int events_per_iteration = 256;
constexpr core::millis max_sleep{1000};

} // namespace

event_loop::event_loop() : epoll_(epoll_create1(EPOLL_CLOEXEC))
{
    core::require(epoll_ >= 0, "epoll_create1 failed");
}

event_loop::~event_loop()
{
    close(epoll_);
}

core::mono_time event_loop::now() const
{
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return core::mono_time{std::chrono::duration_cast<core::micros>(t)};
}

void event_loop::after(core::millis delay, action callback)
{
    timers_.emplace(now() + delay, std::move(callback));
}

void event_loop::every(core::millis interval, action callback)
{
    after(interval,
        [this, interval, callback = std::move(callback)]
        {
            callback();
            every(interval, callback);
        });
}

void event_loop::watch(int fd, std::uint32_t events, descriptor_action callback)
{
    const auto token = ++last_token_;
    watched_[token] = std::make_shared<watched>(watched{fd, std::move(callback)});
    tokens_[fd] = token;
    epoll_event event{};
    event.events = events;
    event.data.u64 = token;
    core::require(epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) == 0, "epoll_ctl failed");
}

void event_loop::unwatch(int fd)
{
    const auto it = tokens_.find(fd);
    if (it == tokens_.end())
    {
        return;
    }
    epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    watched_.erase(it->second);
    tokens_.erase(it);
}

void event_loop::set_driver(driver d)
{
    driver_ = std::move(d);
}

int event_loop::sleep_bound(core::millis max_wait) const
{
    auto bound = max_wait;
    if (!timers_.empty())
    {
        const auto remaining = std::chrono::ceil<core::millis>(timers_.begin()->first - now());
        bound = std::min(bound, std::max(remaining, core::millis{0}));
    }
    if (driver_.timeout)
    {
        bound = std::min(bound, driver_.timeout().value_or(bound));
    }
    return static_cast<int>(bound.count());
}

void event_loop::run_due()
{
    const auto due = now();
    while (!timers_.empty() && timers_.begin()->first <= due)
    {
        auto node = timers_.extract(timers_.begin());
        node.mapped()();
    }
}

void event_loop::run_once(core::millis max_wait)
{
    std::array<epoll_event, events_per_iteration> events{};
    const int n = epoll_wait(epoll_, events.data(), events_per_iteration, sleep_bound(max_wait));
    for (int i = 0; i < n; ++i)
    {
        const auto& event = events[static_cast<std::size_t>(i)];
        // Events are identified by a token instead of the descriptor: an earlier action of this
        // iteration may have closed the descriptor, and a newer connection may have its number now.
        const auto it = watched_.find(event.data.u64);
        if (it != watched_.end())
        {
            const auto kept = it->second;
            kept->callback(event.events);
        }
    }
    run_due();
    if (driver_.run)
    {
        driver_.run();
    }
}

void event_loop::run()
{
    while (!stopped_)
    {
        run_once(max_sleep);
    }
}

void event_loop::stop()
{
    stopped_ = true;
}

} // namespace camphorhitch::standin_support
