#include "fleet.hpp"

#include "actual_behaviour.hpp"

#include <cmath>
#include <utility>

namespace camphorhitch::standin_worker
{

namespace
{

host* find_host(fleet& f, const std::string& id)
{
    const auto it = f.hosts.find(id);
    return it == f.hosts.end() ? nullptr : &it->second;
}

void record_notice(fleet& f, const host& h, bool planned)
{
    f.notices.push_back({h.id, h.state, h.boot_count, planned});
}

bool is_running(const task& t)
{
    return t.state == ports::task_state::running;
}

void end_task(fleet& f, task& t, ports::task_state state, std::string detail, moment at)
{
    t.state = state;
    t.detail = std::move(detail);
    auto& record = f.records[t.record];
    record.ended_ms = at.unix_ms;
    record.end = core::name_of(ports::task_state_names, state);
}

void lose_tasks(fleet& f, host& h, moment at)
{
    for (auto& [name, it] : h.tasks)
    {
        if (is_running(it))
        {
            f.records[it.record].ended_ms = at.unix_ms;
            f.records[it.record].end = "lost";
        }
    }
    h.tasks.clear();
}

void go_down(fleet& f, host& h, bool planned, moment at)
{
    lose_tasks(f, h, at);
    h.state = ports::live_state::down;
    record_notice(f, h, planned);
}

int free_accelerators(const host& h)
{
    int n = h.accelerators;
    for (const auto& [name, it] : h.tasks)
    {
        n -= is_running(it) ? it.order.accelerators : 0;
    }
    return n;
}

std::string refusal(const fleet& f, const host& h, const ports::task_order& order)
{
    if (order.lease_ttl <= core::millis{0})
    {
        return "lease_ttl_ms must be above 0";
    }
    if (order.accelerators > free_accelerators(h))
    {
        return "not enough free accelerators";
    }
    if (order.resume && !order.checkpoint.empty() && !f.checkpoints.contains(order.checkpoint))
    {
        return "no such checkpoint";
    }
    return "";
}

task new_task(fleet& f, const ports::task_order& order, moment at)
{
    task t;
    t.order = order;
    t.actual = actual_behaviour_of(order, f.settings);
    t.started = at.now;
    t.lease_until = at.now + order.lease_ttl;
    if (order.resume && !order.checkpoint.empty())
    {
        t.progress = f.checkpoints.at(order.checkpoint);
        t.checkpoint = order.checkpoint;
    }
    t.record = f.records.size();
    f.records.push_back({order.task, order.host, order.payload, at.unix_ms, 0, ""});
    return t;
}

void save_checkpoint(fleet& f, task& t)
{
    t.checkpoint = t.order.task + "." + std::to_string(++t.checkpoints);
    f.checkpoints[t.checkpoint] = t.progress;
}

void apply_action_to_task(fleet& f, task& t, ports::task_action action, moment at)
{
    switch (action)
    {
    case ports::task_action::renew:
        t.lease_until = at.now + t.order.lease_ttl;
        break;
    case ports::task_action::checkpoint:
        save_checkpoint(f, t);
        break;
    case ports::task_action::throttle:
        t.throttled = true;
        break;
    case ports::task_action::unthrottle:
        t.throttled = false;
        break;
    case ports::task_action::stop:
        end_task(f, t, ports::task_state::stopped, "stopped by order", at);
        break;
    }
}

/// \return the share of full speed at which each task runs. The share is less than 1 if the actual
/// use of all tasks exceeds the host's processors.
double processor_share(const fleet& f, const host& h)
{
    double used = 0;
    for (const auto& [name, it] : h.tasks)
    {
        used += is_running(it)
                    ? it.actual.processors * (it.throttled ? f.settings.throttled_rate : 1)
                    : 0;
    }
    return used > h.processors ? h.processors / used : 1;
}

/// Fails the newest tasks until the actual use of memory fits into the host's memory, as the kernel
/// does.
void enforce_memory(fleet& f, host& h, moment at)
{
    while (true)
    {
        double used = 0;
        task* newest = nullptr;
        for (auto& [name, it] : h.tasks)
        {
            if (is_running(it))
            {
                used += it.actual.memory_gb;
                newest = newest == nullptr || it.record > newest->record ? &it : newest;
            }
        }
        if (used <= h.memory_gb)
        {
            return;
        }
        end_task(f, *newest, ports::task_state::failed, "out of memory", at);
    }
}

void advance_task(fleet& f, task& t, core::micros step, moment at)
{
    if (t.lease_until <= at.now)
    {
        end_task(f, t, ports::task_state::lapsed, "its lease lapsed", at);
        return;
    }
    t.progress += step;
    if (t.actual.fails_after && t.progress >= *t.actual.fails_after)
    {
        end_task(f, t, ports::task_state::failed, "failed by itself", at);
    }
    else if (t.progress >= t.actual.run_time)
    {
        end_task(f, t, ports::task_state::finished, "", at);
    }
}

void advance_host(fleet& f, host& h, core::micros passed, moment at)
{
    enforce_memory(f, h, at);
    const auto share = processor_share(f, h);
    for (auto& [name, it] : h.tasks)
    {
        if (is_running(it))
        {
            const auto rate = share * (it.throttled ? f.settings.throttled_rate : 1);
            const auto step = static_cast<double>(passed.count()) * rate;
            advance_task(f, it, core::micros{std::llround(step)}, at);
        }
    }
    if (h.back_at && *h.back_at <= at.now)
    {
        return_host(f, h);
    }
}

} // namespace

answer reboot(fleet& f, const std::string& id, const std::string& command, moment at)
{
    auto* const h = find_host(f, id);
    if (h == nullptr)
    {
        return {verdict::no_host, ""};
    }
    if (!h->commands.insert(command).second)
    {
        return {verdict::repeated, ""};
    }
    go_down(f, *h, true, at);
    h->back_at.reset();
    if (!h->never_returns)
    {
        h->back_at = at.now + f.settings.reboot;
    }
    return {};
}

void fail_host(fleet& f, host& h, moment at)
{
    h.back_at.reset();
    go_down(f, h, false, at);
}

void return_host(fleet& f, host& h)
{
    if (h.state != ports::live_state::down)
    {
        return;
    }
    h.back_at.reset();
    h.state = ports::live_state::live;
    ++h.boot_count;
    record_notice(f, h, true);
}

void set_leaving(fleet& f, host& h, bool leaving)
{
    const auto state = leaving ? ports::live_state::leaving : ports::live_state::live;
    if (h.state != ports::live_state::down && h.state != state)
    {
        h.state = state;
        record_notice(f, h, true);
    }
}

answer start(fleet& f, const ports::task_order& order, moment at)
{
    auto* const h = find_host(f, order.host);
    if (h == nullptr)
    {
        return {verdict::no_host, ""};
    }
    if (h->state == ports::live_state::down)
    {
        return {verdict::host_down, ""};
    }
    const auto before = f.started.find(order.task);
    if (before != f.started.end())
    {
        return before->second == order.host
                   ? answer{verdict::repeated, ""}
                   : answer{verdict::refused, "the task was started on " + before->second};
    }
    auto why = refusal(f, *h, order);
    if (!why.empty())
    {
        return {verdict::refused, std::move(why)};
    }
    f.started[order.task] = order.host;
    auto& t = h->tasks[order.task] = new_task(f, order, at);
    if (h->fails_all_tasks)
    {
        end_task(f, t, ports::task_state::failed, "the host fails every task", at);
    }
    else if (t.actual.kills_host)
    {
        fail_host(f, *h, at);
    }
    return {};
}

action_answer apply_action(fleet& f,
    const std::string& id,
    const std::vector<std::string>& tasks,
    ports::task_action action,
    moment at)
{
    action_answer all;
    auto* const h = find_host(f, id);
    if (h == nullptr || h->state == ports::live_state::down)
    {
        all.order_answer.result = h == nullptr ? verdict::no_host : verdict::host_down;
        return all;
    }
    for (const auto& name : tasks)
    {
        const auto it = h->tasks.find(name);
        const auto here = it != h->tasks.end() && is_running(it->second);
        if (here)
        {
            apply_action_to_task(f, it->second, action, at);
        }
        (here ? all.done : all.missing).push_back(name);
    }
    return all;
}

std::vector<ports::task_report> reports(const fleet& f, const host& h, core::mono_time now)
{
    std::vector<ports::task_report> all;
    for (const auto& [name, it] : h.tasks)
    {
        ports::task_report r;
        r.host = h.id;
        r.task = name;
        r.state = it.state;
        r.checkpoint = it.checkpoint;
        r.detail = it.detail;
        if (is_running(it) && now - it.started >= f.settings.usage_lag)
        {
            r.processors_used =
                it.actual.processors * (it.throttled ? f.settings.throttled_rate : 1);
            r.memory_gb_used = it.actual.memory_gb;
        }
        all.push_back(std::move(r));
    }
    return all;
}

void advance(fleet& f, moment at)
{
    const auto passed = at.now - f.advanced;
    f.advanced = at.now;
    for (auto& [id, h] : f.hosts)
    {
        advance_host(f, h, passed, at);
    }
}

} // namespace camphorhitch::standin_worker
