#include "job_fakes/workers.hpp"

#include <algorithm>

namespace camphorhitch::job_fakes
{

namespace
{

/// Share of its run time after which a task uses all of its memory.
constexpr double memory_growth_share = 0.1;
/// Share of its memory that a task uses at its start.
constexpr double initial_memory_share = 0.3;

worker* find_reachable(workers& w, const std::string& host)
{
    const auto it = w.all.find(host);
    return it == w.all.end() || !it->second.reachable ? nullptr : &it->second;
}

bool is_running(const worker_task& t)
{
    return t.state == ports::task_state::running;
}

void end_task(worker_task& t, ports::task_state how, std::string detail)
{
    t.state = how;
    t.detail = std::move(detail);
}

void apply_action_to_task(worker_task& t, ports::task_action what, core::mono_time now)
{
    if (!is_running(t))
    {
        return;
    }
    switch (what)
    {
    case ports::task_action::renew:
        t.lease_until = now + t.order.lease_ttl;
        return;
    case ports::task_action::checkpoint:
        t.checkpoint_at = now + t.real.checkpoint_time;
        return;
    case ports::task_action::throttle:
        t.throttled = true;
        return;
    case ports::task_action::unthrottle:
        t.throttled = false;
        return;
    case ports::task_action::stop:
        end_task(t, ports::task_state::stopped, "on command");
        return;
    }
}

/// Kills tasks while the host's memory is overcommitted, first the task that exceeds its
/// reservation most. Unlike processor time, memory can't be divided into smaller shares.
void kill_for_memory(workers& all, worker& w)
{
    for (;;)
    {
        double used = 0;
        worker_task* largest_excess = nullptr;
        for (auto& it : w.tasks)
        {
            if (!is_running(it.second))
            {
                continue;
            }
            used += current_use(it.second).memory_gb;
            const auto excess = [](const worker_task& t)
            {
                return current_use(t).memory_gb - t.order.memory_gb;
            };
            if (largest_excess == nullptr || excess(it.second) > excess(*largest_excess))
            {
                largest_excess = &it.second;
            }
        }
        if (largest_excess == nullptr || used <= w.capacity.memory_gb)
        {
            return;
        }
        end_task(*largest_excess, ports::task_state::failed, "out of memory");
        all.out_of_memory += 1;
    }
}

void advance_task(worker_task& t, double speed, core::mono_time now, core::millis step)
{
    const auto elapsed_ms = static_cast<double>(step.count());
    t.done_ms += elapsed_ms * speed;
    t.slowed = t.slowed || (speed < 0.9 && !t.throttled);
    t.mean_processors = std::max(t.mean_processors, current_use(t).processors);
    t.peak_memory = std::max(t.peak_memory, current_use(t).memory_gb);
    if (t.checkpoint_at != core::mono_time{} && now >= t.checkpoint_at)
    {
        t.checkpoint_ms = t.done_ms;
        t.checkpoint = t.order.task + "@" + std::to_string(static_cast<std::int64_t>(t.done_ms));
        t.checkpoint_at = {};
    }
    if (t.done_ms >= static_cast<double>(t.real.run_time.count()))
    {
        end_task(t, ports::task_state::finished, "");
    }
}

/// Removes tasks that ended more than keep_ended ago.
void remove_ended_tasks(const workers& all, worker& w, core::mono_time now)
{
    for (auto it = w.tasks.begin(); it != w.tasks.end();)
    {
        worker_task& t = it->second;
        if (!is_running(t) && t.ended == core::mono_time{})
        {
            t.ended = now;
        }
        const bool old = !is_running(t) && now - t.ended > all.keep_ended;
        it = old ? w.tasks.erase(it) : std::next(it);
    }
}

double checkpointed_ms(const std::string& checkpoint)
{
    const std::size_t n = checkpoint.rfind('@');
    return n == std::string::npos ? 0 : std::stod(checkpoint.substr(n + 1));
}

} // namespace

jobs::resources current_use(const worker_task& t)
{
    const double full = static_cast<double>(std::max<std::int64_t>(1, t.real.run_time.count()));
    const double grown = std::min(1.0,
        initial_memory_share + (1 - initial_memory_share) * t.done_ms / full / memory_growth_share);
    return {t.real.size.processors, t.real.size.memory_gb * grown, t.real.size.accelerators};
}

ports::platform_status start(workers& all, const ports::task_order& order, core::mono_time now)
{
    worker* w = find_reachable(all, order.host);
    if (w == nullptr)
    {
        return ports::platform_status::unknown;
    }
    if (!w->started_names.insert(order.task).second)
    {
        return ports::platform_status::ok;
    }
    all.starts.push_back({jobs::job_id_of_task(order.task), order.task, order.host, order.resume});
    worker_task t;
    t.order = order;
    t.real = all.behaviour(order);
    t.started = now;
    t.lease_until = now + order.lease_ttl;
    t.done_ms = order.resume ? checkpointed_ms(order.checkpoint) : 0;
    t.checkpoint = order.checkpoint;
    if (w->fails_all || t.real.fails)
    {
        end_task(t, ports::task_state::failed, w->fails_all ? "worker fault" : "job fault");
        all.wasted_starts += w->fails_all ? 1 : 0;
    }
    w->tasks[order.task] = std::move(t);
    return ports::platform_status::ok;
}

ports::platform_status apply_action(workers& all,
    const std::string& host,
    const std::vector<std::string>& tasks,
    ports::task_action what,
    core::mono_time now)
{
    worker* w = find_reachable(all, host);
    if (w == nullptr)
    {
        return ports::platform_status::unknown;
    }
    for (const auto& it : tasks)
    {
        if (const auto found = w->tasks.find(it); found != w->tasks.end())
        {
            apply_action_to_task(found->second, what, now);
        }
    }
    return ports::platform_status::ok;
}

ports::task_reports read_tasks(const workers& all, const std::string& host, core::mono_time now)
{
    ports::task_reports reports;
    const auto it = all.all.find(host);
    if (it == all.all.end() || !it->second.reachable)
    {
        return reports;
    }
    reports.known = true;
    for (const auto& entry : it->second.tasks)
    {
        const worker_task& t = entry.second;
        const bool measured = now - t.started >= all.usage_lag || !is_running(t);
        reports.tasks.push_back({host,
            entry.first,
            t.state,
            measured ? t.mean_processors : 0,
            measured ? t.peak_memory : 0,
            t.checkpoint,
            t.detail});
    }
    return reports;
}

void advance(workers& all, core::mono_time now, core::millis step)
{
    for (auto& entry : all.all)
    {
        worker& w = entry.second;
        double wanted = 0;
        for (const auto& it : w.tasks)
        {
            const double share = it.second.throttled ? all.throttled_share : 1.0;
            wanted += is_running(it.second) ? current_use(it.second).processors * share : 0;
        }
        const double speed = wanted > w.capacity.processors ? w.capacity.processors / wanted : 1.0;
        const bool paused = now < w.paused_until;
        for (auto& it : w.tasks)
        {
            worker_task& t = it.second;
            if (!is_running(t))
            {
                continue;
            }
            advance_task(t, speed * (t.throttled ? all.throttled_share : 1.0), now, step);
            if (is_running(t) && !paused && now > t.lease_until)
            {
                end_task(t, ports::task_state::lapsed, "no renewal");
            }
        }
        kill_for_memory(all, w);
        remove_ended_tasks(all, w, now);
    }
}

void reboot(worker& w)
{
    w.tasks.clear();
    w.started_names.clear();
}

} // namespace camphorhitch::job_fakes
