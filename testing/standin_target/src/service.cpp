#include "service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorhitch::standin_target
{

using nlohmann::json;
using standin_support::error_response;
using standin_support::json_response;
using standin_support::object_reader;

namespace
{

json runs_json(const std::vector<run>& runs)
{
    json all = json::array();
    for (const auto& it : runs)
    {
        all.push_back({{"host", it.host}, {"at_ms", it.at_ms}});
    }
    return all;
}

} // namespace

service::service(standin_support::standin& s, const service_settings& settings)
{
    for (std::size_t i = 0; i < settings.count; ++i)
    {
        target_settings one;
        one.host = settings.prefix + std::to_string(i + 1);
        one.port =
            static_cast<std::uint16_t>(settings.first_port == 0 ? 0 : settings.first_port + i);
        one.slots = settings.slots;
        one.delay = settings.delay;
        targets_.push_back(std::make_unique<target>(s, run_log_, one));
    }
    using standin_support::simple_route;
    control_port_ = &s.server.listen(s.settings.control_port,
        standin_support::make_router(s.settings.token,
            {
                simple_route("POST", "/control", [this](const auto& r) { return on_control(r); }),
                simple_route("GET", "/control/stats", [this](const auto&) { return stats(); }),
                simple_route("POST", "/control/runs", [this](const auto& r) { return on_runs(r); }),
                simple_route(
                    "GET", "/control/duplicates", [this](const auto&) { return duplicates(); }),
            }));
}

std::vector<target*> service::selected(object_reader& command)
{
    std::string host;
    std::vector<std::string> hosts;
    bool all = false;
    command.read("all", all);
    command.read("hosts", hosts);
    if (command.read("host", host))
    {
        hosts.push_back(host);
    }
    std::vector<target*> found;
    for (const auto& it : targets_)
    {
        if (all || std::find(hosts.begin(), hosts.end(), it->host()) != hosts.end())
        {
            found.push_back(it.get());
        }
    }
    return found;
}

ports::http_response service::on_control(const ports::http_request& r)
{
    object_reader command(r.body);
    const auto chosen = selected(command);
    if (chosen.empty())
    {
        return error_response(404, "no such host; name it in host, hosts, or give all: true");
    }
    for (auto* const it : chosen)
    {
        it->control(command);
    }
    return standin_support::control_answer(command);
}

ports::http_response service::stats() const
{
    json all = json::array();
    json total = json::object();
    for (const auto& it : targets_)
    {
        all.push_back(it->stats());
        for (const auto* const name : {"runs",
                 "keyed_runs",
                 "duplicates",
                 "repeats",
                 "failures",
                 "running",
                 "overloads",
                 "abandoned",
                 "cut_off",
                 "cut_off_planned",
                 "swallowed",
                 "connections"})
        {
            total[name] =
                total.value(name, std::uint64_t{0}) + all.back().at(name).get<std::uint64_t>();
        }
    }
    total["without_id"] = run_log_.without_id;
    return json_response(200, {{"targets", all}, {"total", total}});
}

ports::http_response service::on_runs(const ports::http_request& r) const
{
    object_reader query(r.body);
    std::vector<std::string> ids;
    query.read("ids", ids);
    if (const auto wrong = standin_support::refusal(query))
    {
        return *wrong;
    }
    json all = json::object();
    for (const auto& it : ids)
    {
        all[it] = runs_json(runs_of(run_log_, it));
    }
    return json_response(200, {{"runs", all}});
}

ports::http_response service::duplicates() const
{
    json all = json::object();
    for (const auto& [id, runs] : run_log_.duplicates)
    {
        all[id] = runs_json(runs);
    }
    return json_response(200, {{"duplicates", all}});
}

} // namespace camphorhitch::standin_target
