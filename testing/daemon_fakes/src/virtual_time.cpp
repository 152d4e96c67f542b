#include "daemon_fakes/virtual_time.hpp"

namespace camphorhitch::daemon_fakes
{

namespace
{

constexpr core::mono_time start{core::millis{1'000'000}};
/// 2027-01-04 00:00:00 UTC, a Monday.
constexpr std::int64_t wall_start_ms = 1'799'020'800'000;

} // namespace

void process::enter(std::function<void()> fn)
{
    if (dead)
    {
        return;
    }
    if (paused)
    {
        waiting.push_back(std::move(fn));
        return;
    }
    fn();
}

core::mono_time virtual_time::now() const
{
    return now_;
}

std::int64_t virtual_time::passed_ms() const
{
    return std::chrono::duration_cast<core::millis>(now_ - start).count();
}

core::wall_time virtual_time::wall_now() const
{
    return core::from_unix_ms(wall_start_ms + passed_ms());
}

ports::timer_id virtual_time::after(core::millis delay, std::function<void()> fn)
{
    const auto id = ++last_;
    const auto at = now_ + std::max(delay, core::millis{0});
    due_[id] = at;
    queue_[{at, id}] = std::move(fn);
    return id;
}

void virtual_time::cancel(ports::timer_id id)
{
    active_timers_.erase(id);
    const auto it = due_.find(id);
    if (it != due_.end())
    {
        queue_.erase({it->second, id});
        due_.erase(it);
    }
}

ports::scheduler virtual_time::port(process& p)
{
    ports::scheduler out;
    out.now = [this]
    {
        return now();
    };
    out.wall_now = [this]
    {
        return wall_now();
    };
    out.post = [this, &p](std::function<void()> fn)
    {
        after(core::millis{0}, [&p, fn = std::move(fn)] { p.enter(fn); });
    };
    out.after = [this, &p](core::millis delay, std::function<void()> fn)
    {
        const auto id = last_ + 1;
        active_timers_.insert(id);
        // A timer that expired while its process was paused is in the process's queue of waiting
        // events, where cancel() can't remove it. It therefore checks again whether it is active.
        return after(delay,
            [this, &p, id, fn = std::move(fn)]
            {
                p.enter(
                    [this, id, fn]
                    {
                        if (active_timers_.erase(id) > 0)
                        {
                            fn();
                        }
                    });
            });
    };
    out.cancel = [this](ports::timer_id id)
    {
        cancel(id);
    };
    return out;
}

bool virtual_time::step(core::mono_time end)
{
    if (queue_.empty() || queue_.begin()->first.first > end)
    {
        now_ = end;
        return false;
    }
    const auto first = queue_.begin();
    now_ = first->first.first;
    due_.erase(first->first.second);
    const auto fn = std::move(first->second);
    queue_.erase(first);
    fn();
    return true;
}

bool virtual_time::run_until(const std::function<bool()>& condition, core::millis bound)
{
    const auto end = now_ + bound;
    while (!condition())
    {
        if (!step(end))
        {
            return condition();
        }
    }
    return true;
}

void virtual_time::run_for(core::millis time)
{
    run_until([] { return false; }, time);
}

void virtual_time::resume(process& p)
{
    p.paused = false;
    const auto all = std::exchange(p.waiting, {});
    for (const auto& fn : all)
    {
        p.enter(fn);
    }
}

} // namespace camphorhitch::daemon_fakes
