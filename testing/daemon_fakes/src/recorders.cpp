#include "daemon_fakes/recorders.hpp"

#include <algorithm>
#include <cstdio>

namespace camphorhitch::daemon_fakes
{

ports::telemetry log_recorder::port(virtual_time& time)
{
    ports::telemetry out;
    out.log = [this, &time](
                  ports::log_level, const std::string& event, const ports::log_fields& fields)
    {
        char at[32];
        std::snprintf(at, sizeof(at), "%.3f ", static_cast<double>(time.passed_ms()) / 1000);
        std::string line = at + event;
        for (const auto& [key, value] : fields)
        {
            line.append(" ").append(key).append("=").append(value);
        }
        lines.push_back(line);
    };
    out.count = [](const std::string&, const ports::metric_labels&, double) {
    };
    out.gauge = [](const std::string&, const ports::metric_labels&, double) {
    };
    out.observe = [](const std::string&, const ports::metric_labels&, double) {
    };
    out.start_span = [](const std::string&, const std::string&)
    {
        return ports::span{"",
            [](const std::string&, const std::string&) {},
            [] {
            }};
    };
    return out;
}

bool log_recorder::has(const std::string& part) const
{
    return std::any_of(lines.begin(),
        lines.end(),
        [&](const auto& it) { return it.find(part) != std::string::npos; });
}

ports::http_server answer_recorder::port()
{
    ports::http_server out;
    out.respond = [this](ports::exchange_id id, ports::http_response r)
    {
        answers[id] = std::move(r);
    };
    out.stop_accepting = [this]
    {
        accepting = false;
    };
    out.open_exchanges = [this]
    {
        return static_cast<std::size_t>(last) - answers.size();
    };
    return out;
}

ports::exchange_id answer_recorder::send(
    process& to, const ports::http_events& events, ports::http_request r)
{
    const auto id = ++last;
    to.enter([on_request = events.on_request, id, r = std::move(r)] { on_request(id, r); });
    return id;
}

const ports::http_response* answer_recorder::find(ports::exchange_id id) const
{
    const auto it = answers.find(id);
    return it == answers.end() ? nullptr : &it->second;
}

} // namespace camphorhitch::daemon_fakes
