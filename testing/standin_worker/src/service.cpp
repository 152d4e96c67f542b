#include "service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::standin_worker
{

using nlohmann::json;
using standin_support::error_response;
using standin_support::json_response;
using standin_support::object_reader;
using standin_support::simple_route;

namespace
{

constexpr core::millis tick_interval{10};

ports::http_response to_response(const answer& a)
{
    switch (a.result)
    {
    case verdict::done:
        return json_response(200, {{"repeat", false}});
    case verdict::repeated:
        return json_response(200, {{"repeat", true}});
    case verdict::no_host:
        return error_response(404, "no such host");
    case verdict::host_down:
        return error_response(409, "the host is down; nothing was done");
    case verdict::refused:
        break;
    }
    return error_response(409, a.text);
}

core::millis read_millis(object_reader& from, const char* name, core::millis otherwise)
{
    auto ms = std::int64_t{otherwise.count()};
    from.read(name, ms);
    return core::millis{ms};
}

ports::task_order read_order(object_reader& body, const std::string& host)
{
    ports::task_order order;
    order.host = host;
    body.read("task", order.task);
    body.read("processors", order.processors);
    body.read("memory_gb", order.memory_gb);
    body.read("accelerators", order.accelerators);
    order.run_time = read_millis(body, "run_time_ms", order.run_time);
    order.lease_ttl = read_millis(body, "lease_ttl_ms", order.lease_ttl);
    body.read("resume", order.resume);
    body.read("checkpoint", order.checkpoint);
    body.read("payload", order.payload);
    std::string same_host = host;
    body.read("host", same_host);
    if (order.task.empty())
    {
        body.add_finding("task", "is missing");
    }
    if (same_host != host)
    {
        body.add_finding("host", "isn't the path's");
    }
    return order;
}

json report_json(const ports::task_report& r)
{
    return {{"task", r.task},
        {"state", core::name_of(ports::task_state_names, r.state)},
        {"processors_used", r.processors_used},
        {"memory_gb_used", r.memory_gb_used},
        {"checkpoint", r.checkpoint},
        {"detail", r.detail}};
}

} // namespace

service::service(standin_support::standin& s, service_settings settings)
    : standin_(s), gate_(s, [] {}), livelist_(settings.livelist, s.settings.token),
      targets_(settings.targets, s.settings.token)
{
    fleet_.settings = settings.simulation;
    fleet_.advanced = s.loop.now();
    for (auto& it : settings.hosts)
    {
        fleet_.notices.push_back({it.id, it.state, it.boot_count, true});
        auto id = it.id;
        fleet_.hosts.emplace(std::move(id), std::move(it));
    }
    port_ = &gate_.listen(standin_support::make_router(s.settings.token,
        {
            host_route("POST", "/v1/hosts/*/reboot", &service::on_reboot),
            host_route("POST", "/v1/hosts/*/tasks", &service::on_start),
            host_route("POST", "/v1/hosts/*/tasks/actions", &service::on_task_action),
            host_route("GET", "/v1/hosts/*/tasks", &service::on_reports),
        }));
    control_port_ = &s.server.listen(s.settings.control_port,
        standin_support::make_router(s.settings.token,
            {
                simple_route("POST", "/control", [this](const auto& r) { return on_control(r); }),
                simple_route("GET", "/control/stats", [this](const auto&) { return stats(); }),
                simple_route("GET", "/control/record", [this](const auto&) { return record(); }),
            }));
    s.loop.every(tick_interval, [this] { tick(); });
    send_notices();
}

moment service::now() const
{
    return {standin_.loop.now(), standin_support::unix_ms()};
}

void service::tick()
{
    advance(fleet_, now());
    send_notices();
}

void service::send_notices()
{
    for (const auto& it : std::exchange(fleet_.notices, {}))
    {
        const auto state = core::name_of(ports::live_state_names, it.state);
        const json for_list = {{"state", state}, {"boot_count", it.boot_count}};
        livelist_.send({"PUT", "/v1/hosts/" + it.host, for_list.dump()});
        const json for_target = {{"host", it.host},
            {"down", it.state == ports::live_state::down},
            {"planned", it.planned}};
        targets_.send({"POST", "/control", for_target.dump()});
    }
}

standin_support::route service::host_route(std::string method, std::string pattern, action handler)
{
    const auto serve = [this, handler, name = method + " " + pattern](
                           const exchange_ptr& pending, const path_parts& parts)
    {
        ++calls_[name];
        const auto it = fleet_.hosts.find(parts.front());
        if (it != fleet_.hosts.end() && it->second.unreachable)
        {
            pending->cut();
            return;
        }
        advance(fleet_, now());
        (this->*handler)(pending, parts);
        send_notices();
    };
    return {std::move(method), std::move(pattern), serve};
}

void service::on_reboot(const exchange_ptr& pending, const path_parts& parts)
{
    object_reader body(pending->request.body);
    std::string command;
    body.read("command", command);
    if (command.empty())
    {
        body.add_finding("command", "is missing");
    }
    if (const auto wrong = standin_support::refusal(body))
    {
        pending->respond(*wrong);
        return;
    }
    gate_.answer_write(
        pending, "reboot", to_response(reboot(fleet_, parts.front(), command, now())));
}

void service::on_start(const exchange_ptr& pending, const path_parts& parts)
{
    object_reader body(pending->request.body);
    const auto order = read_order(body, parts.front());
    if (const auto wrong = standin_support::refusal(body))
    {
        pending->respond(*wrong);
        return;
    }
    gate_.answer_write(pending, "start", to_response(start(fleet_, order, now())));
}

void service::on_task_action(const exchange_ptr& pending, const path_parts& parts)
{
    object_reader body(pending->request.body);
    std::vector<std::string> tasks;
    std::string name;
    body.read("tasks", tasks);
    body.read("action", name);
    const auto action = core::value_of(ports::task_action_names, name);
    if (!action)
    {
        body.add_finding("action", "must be renew, checkpoint, throttle, unthrottle or stop");
    }
    if (const auto wrong = standin_support::refusal(body))
    {
        pending->respond(*wrong);
        return;
    }
    const auto action_result = apply_action(fleet_, parts.front(), tasks, *action, now());
    if (action_result.order_answer.result != verdict::done)
    {
        pending->respond(to_response(action_result.order_answer));
        return;
    }
    gate_.answer_write(pending,
        name,
        json_response(200, {{"done", action_result.done}, {"missing", action_result.missing}}));
}

void service::on_reports(const exchange_ptr& pending, const path_parts& parts)
{
    const auto it = fleet_.hosts.find(parts.front());
    if (it == fleet_.hosts.end())
    {
        pending->respond(to_response({verdict::no_host, ""}));
        return;
    }
    if (it->second.state == ports::live_state::down)
    {
        pending->respond(to_response({verdict::host_down, ""}));
        return;
    }
    json all = json::array();
    for (const auto& r : reports(fleet_, it->second, standin_.loop.now()))
    {
        all.push_back(report_json(r));
    }
    pending->respond(json_response(
        200, {{"host", it->first}, {"boot_count", it->second.boot_count}, {"tasks", all}}));
}

} // namespace camphorhitch::standin_worker
