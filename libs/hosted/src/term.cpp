#include "term.hpp"

#include <utility>

namespace camphorhitch::hosted
{

void term::log(ports::log_level level, std::string event, ports::log_fields fields)
{
    if (!take_line(lines, now()))
    {
        return;
    }
    if (const auto n = take_left_out(lines, now()); n > 0)
    {
        ctx.tel.log(ports::log_level::warning, "lines_left_out", {{"count", std::to_string(n)}});
    }
    ctx.tel.log(level, std::move(event), std::move(fields));
}

void term::log(const coordinator::task_events& all)
{
    for (const auto& it : all)
    {
        ports::log_fields fields;
        if (!it.task.empty())
        {
            fields.emplace_back("id", it.task);
        }
        if (it.run != 0)
        {
            fields.emplace_back("run", std::to_string(it.run));
        }
        if (!it.host.empty())
        {
            fields.emplace_back("host", it.host);
        }
        if (!it.reason.empty())
        {
            fields.emplace_back("because", it.reason);
        }
        fields.emplace_back("token", std::to_string(token));
        ctx.tel.count("camphorhitch_fleet_events_total", {{"event", it.what}}, 1);
        log(ports::log_level::info, it.what, std::move(fields));
    }
}

void term::fenced_by(const std::string& who)
{
    // Not from inside a callback of a part: losing the term destroys the parts.
    ctx.time.post(guarded([this, who] { lead->step_down("fenced by " + who); }));
}

} // namespace camphorhitch::hosted
