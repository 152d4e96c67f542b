#include "daemon_fakes/platform.hpp"

namespace camphorhitch::daemon_fakes
{

namespace
{

constexpr core::millis worker_interval{100};

} // namespace

platform::platform(virtual_time& time, targets& served) : time_(time), targets_(served)
{
    workers.behaviour = [](const ports::task_order& order)
    {
        job_fakes::real_task out;
        out.size = {order.processors, order.memory_gb, order.accelerators};
        out.run_time = order.run_time;
        return out;
    };
    time_.after(worker_interval, [this] { pass(); });
}

void platform::pass()
{
    job_fakes::advance(workers, time_.now(), worker_interval);
    time_.after(worker_interval, [this] { pass(); });
}

void platform::add_host(
    const std::string& id, const std::string& target, const jobs::resources& capacity)
{
    hosts[id].target = target;
    workers.all[id].id = id;
    workers.all[id].capacity = capacity;
    targets_.all[target] = {};
}

ports::live_list platform::list() const
{
    ports::live_list out;
    out.known = true;
    for (const auto& [id, it] : hosts)
    {
        out.hosts.push_back(
            {id, it.up ? ports::live_state::live : ports::live_state::down, it.boot_count});
    }
    return out;
}

void platform::boot(const std::string& id)
{
    auto& it = hosts.at(id);
    it.up = true;
    it.returns = true;
    ++it.boot_count;
    workers.all[id].reachable = true;
    targets_.all[it.target].down = false;
}

void platform::reboot(const std::string& id, const std::string& command)
{
    const auto found = hosts.find(id);
    if (found == hosts.end() || !found->second.reboots.insert(command).second)
    {
        return;
    }
    auto& it = found->second;
    it.up = false;
    targets_.all[it.target].down = true;
    workers.all[id].reachable = false;
    job_fakes::reboot(workers.all[id]);
    if (it.returns)
    {
        time_.after(reboot_time, [this, id] { boot(id); });
    }
}

ports::platform platform::port(process& from)
{
    const auto answer = [this, &from](std::function<void()> fn)
    {
        time_.after(2 * wire_delay, [&from, fn = std::move(fn)] { from.enter(fn); });
    };
    ports::platform out;
    out.read_live_list = [this, answer](std::function<void(ports::live_list)> done)
    {
        answer([done = std::move(done), reply = list()] { done(reply); });
    };
    out.reboot = [this, answer](const std::string& id,
                     const std::string& command,
                     std::function<void(ports::platform_status)> done)
    {
        reboot(id, command);
        answer([done = std::move(done)] { done(ports::platform_status::ok); });
    };
    out.start_task = [this, answer](const ports::task_order& order,
                         std::function<void(ports::platform_status)> done)
    {
        const auto reply = job_fakes::start(workers, order, time_.now());
        answer([done = std::move(done), reply] { done(reply); });
    };
    out.act_on_tasks = [this, answer](const std::string& id,
                           const std::vector<std::string>& tasks,
                           ports::task_action what,
                           std::function<void(ports::platform_status)> done)
    {
        const auto reply = job_fakes::apply_action(workers, id, tasks, what, time_.now());
        answer([done = std::move(done), reply] { done(reply); });
    };
    out.read_tasks = [this, answer](
                         const std::string& id, std::function<void(ports::task_reports)> done)
    {
        answer([done = std::move(done), reply = job_fakes::read_tasks(workers, id, time_.now())]
            { done(reply); });
    };
    return out;
}

} // namespace camphorhitch::daemon_fakes
