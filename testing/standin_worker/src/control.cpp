#include "service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorhitch::standin_worker
{

using nlohmann::json;
using standin_support::json_response;
using standin_support::object_reader;

namespace
{

bool names(const std::vector<std::string>& list, const std::string& name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

std::vector<std::string> read_names(object_reader& from, const char* one, const char* many)
{
    std::vector<std::string> all;
    std::string name;
    from.read(many, all);
    if (from.read(one, name))
    {
        all.push_back(name);
    }
    return all;
}

void read_millis(object_reader& from, const char* name, core::millis& to)
{
    auto ms = std::int64_t{to.count()};
    from.read(name, ms);
    to = core::millis{ms};
}

} // namespace

std::vector<host*> service::selected(object_reader& command)
{
    const auto ids = read_names(command, "host", "hosts");
    const auto racks = read_names(command, "rack", "racks");
    const auto zones = read_names(command, "zone", "zones");
    bool all = false;
    command.read("all", all);
    std::vector<host*> found;
    for (auto& [id, it] : fleet_.hosts)
    {
        if (all || names(ids, id) || names(racks, it.rack) || names(zones, it.zone))
        {
            found.push_back(&it);
        }
    }
    return found;
}

void service::control_hosts(object_reader& command)
{
    const auto at = now();
    for (auto* const it : selected(command))
    {
        bool flag = false;
        if (command.read("fail", flag) && flag)
        {
            fail_host(fleet_, *it, at);
        }
        if (command.read("return", flag) && flag)
        {
            return_host(fleet_, *it);
        }
        if (command.read("leaving", flag))
        {
            set_leaving(fleet_, *it, flag);
        }
        command.read("fail_all_tasks", it->fails_all_tasks);
        command.read("no_return", it->never_returns);
        command.read("unreachable", it->unreachable);
    }
}

void service::control_behaviour(object_reader& command)
{
    auto& settings = fleet_.settings;
    read_millis(command, "reboot_ms", settings.reboot);
    read_millis(command, "usage_lag_ms", settings.usage_lag);
    command.read("run_factor", settings.run_factor);
    command.read("usage_factor", settings.usage_factor);
    command.read("run_spread", settings.run_spread);
    command.read("usage_spread", settings.usage_spread);
    command.read("throttled_rate", settings.throttled_rate);
}

ports::http_response service::on_control(const ports::http_request& r)
{
    object_reader command(r.body);
    gate_.control(command);
    control_behaviour(command);
    control_hosts(command);
    send_notices();
    return standin_support::control_answer(command);
}

ports::http_response service::stats()
{
    json hosts = json::array();
    for (const auto& [id, it] : fleet_.hosts)
    {
        const auto running = std::count_if(it.tasks.begin(),
            it.tasks.end(),
            [](const auto& t) { return t.second.state == ports::task_state::running; });
        hosts.push_back({{"id", id},
            {"zone", it.zone},
            {"rack", it.rack},
            {"state", core::name_of(ports::live_state_names, it.state)},
            {"boot_count", it.boot_count},
            {"reboots", it.commands.size()},
            {"running", running}});
    }
    std::map<std::string, std::uint64_t> ends;
    for (const auto& it : fleet_.records)
    {
        ++ends[it.end.empty() ? "running" : it.end];
    }
    return json_response(200,
        {{"hosts", hosts},
            {"starts", fleet_.records.size()},
            {"ends", ends},
            {"calls", calls_},
            {"notices_pending", notices_pending()}});
}

ports::http_response service::record() const
{
    json all = json::array();
    for (const auto& it : fleet_.records)
    {
        all.push_back({{"task", it.task},
            {"host", it.host},
            {"payload", it.payload},
            {"started_ms", it.started_ms},
            {"ended_ms", it.ended_ms},
            {"end", it.end}});
    }
    return json_response(200, {{"starts", all}});
}

} // namespace camphorhitch::standin_worker
