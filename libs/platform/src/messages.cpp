#include "messages.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::platform
{

namespace
{

using json = nlohmann::json;

template <class T>
T field(const json& object, const char* name, T fallback)
{
    const auto it = object.find(name);
    try
    {
        return it == object.end() ? fallback : it->get<T>();
    }
    catch (const json::exception&)
    {
        return fallback;
    }
}

std::string dump(const json& it)
{
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

json list_in(const std::string& text, const char* name)
{
    auto parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains(name) || !parsed[name].is_array())
    {
        return nullptr;
    }
    // Copying is recursive: the stack would overflow on deeply nested rows.
    return std::move(parsed[name]);
}

} // namespace

ports::live_list read_live_list(const std::string& text)
{
    ports::live_list out;
    const auto list = list_in(text, "hosts");
    if (list.is_null())
    {
        return out;
    }
    out.known = true;
    for (const auto& it : list)
    {
        const auto state =
            core::value_of(ports::live_state_names, field<std::string>(it, "state", ""));
        const auto id = field<std::string>(it, "id", "");
        if (state && !id.empty())
        {
            out.hosts.push_back({id, *state, field<std::int64_t>(it, "boot_count", 0)});
        }
    }
    return out;
}

ports::task_reports read_task_reports(const std::string& host, const std::string& text)
{
    ports::task_reports out;
    const auto list = list_in(text, "tasks");
    if (list.is_null())
    {
        return out;
    }
    out.known = true;
    for (const auto& it : list)
    {
        ports::task_report one;
        one.host = host;
        one.task = field<std::string>(it, "task", "");
        const auto state =
            core::value_of(ports::task_state_names, field<std::string>(it, "state", ""));
        one.processors_used = field<double>(it, "processors_used", 0);
        one.memory_gb_used = field<double>(it, "memory_gb_used", 0);
        one.checkpoint = field<std::string>(it, "checkpoint", "");
        one.detail = field<std::string>(it, "detail", "");
        if (state && !one.task.empty())
        {
            one.state = *state;
            out.tasks.push_back(std::move(one));
        }
    }
    return out;
}

std::string reboot_body(const std::string& command)
{
    return dump({{"command", command}});
}

std::string task_body(const ports::task_order& order)
{
    return dump({{"task", order.task},
        {"processors", order.processors},
        {"memory_gb", order.memory_gb},
        {"accelerators", order.accelerators},
        {"run_time_ms", order.run_time.count()},
        {"lease_ttl_ms", order.lease_ttl.count()},
        {"resume", order.resume},
        {"checkpoint", order.checkpoint},
        {"payload", order.payload}});
}

std::string action_body(const std::vector<std::string>& tasks, ports::task_action action)
{
    return dump({{"tasks", tasks}, {"action", core::name_of(ports::task_action_names, action)}});
}

} // namespace camphorhitch::platform
