#include "service.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::standin_livelist
{

using nlohmann::json;
using standin_support::exchange_ptr;
using standin_support::json_response;
using standin_support::object_reader;
using standin_support::path_parts;
using standin_support::simple_route;

service::service(standin_support::standin& s, core::millis lag)
    : standin_(s), lag_(lag), gate_(s, [] {})
{
    const auto read_lagging = [this](const auto&)
    {
        ++reads_;
        return hosts(standin_.loop.now() - lag_);
    };
    port_ = &gate_.listen(standin_support::make_router(
        s.settings.token, {simple_route("GET", "/v1/hosts", read_lagging)}));
    // Updates use the control port, so that they succeed during an outage for readers.
    const auto set = [this](const exchange_ptr& pending, const path_parts& parts)
    {
        on_set_state(pending, parts);
    };
    control_port_ = &s.server.listen(s.settings.control_port,
        standin_support::make_router(s.settings.token,
            {
                {"PUT", "/v1/hosts/*", set},
                simple_route(
                    "GET", "/v1/hosts", [this](const auto&) { return hosts(standin_.loop.now()); }),
                simple_route("POST", "/control", [this](const auto& r) { return on_control(r); }),
                simple_route("GET",
                    "/control/stats",
                    [this](const auto&) {
                        return json_response(
                            200, {{"reads", reads_}, {"hosts", list_.hosts.size()}});
                    }),
            }));
}

ports::http_response service::hosts(core::mono_time then) const
{
    json all = json::array();
    for (const auto& it : read(list_, then))
    {
        all.push_back({{"id", it.id},
            {"state", core::name_of(ports::live_state_names, it.state)},
            {"boot_count", it.boot_count}});
    }
    return json_response(200, {{"hosts", all}});
}

void service::on_set_state(const exchange_ptr& pending, const path_parts& parts)
{
    object_reader body(pending->request.body);
    ports::live_host host;
    host.id = parts.front();
    std::string state;
    body.read("state", state);
    body.read("boot_count", host.boot_count);
    const auto known = core::value_of(ports::live_state_names, state);
    if (!known)
    {
        body.add_finding("state", "must be live, leaving or down");
    }
    if (const auto wrong = standin_support::refusal(body))
    {
        pending->respond(*wrong);
        return;
    }
    host.state = *known;
    set_state(list_, std::move(host), standin_.loop.now());
    pending->respond(json_response(200, json::object()));
}

ports::http_response service::on_control(const ports::http_request& r)
{
    object_reader command(r.body);
    gate_.control(command);
    std::int64_t lag_ms = 0;
    if (command.read("lag_ms", lag_ms))
    {
        lag_ = core::millis{lag_ms};
    }
    return standin_support::control_answer(command);
}

} // namespace camphorhitch::standin_livelist
