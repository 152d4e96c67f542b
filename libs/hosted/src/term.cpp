#include "term.hpp"

#include "coordinator/intake.hpp"
#include "hosted/keys.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

void observe(const ports::telemetry& tel, const char* name, core::micros took)
{
    tel.observe(name, {}, std::chrono::duration<double>(took).count());
}

/// One line a life and order at most, and what a doubled or lost run is traced by: not subject to
/// the budget of lines.
bool is_proof(const coordinator::task_event& it)
{
    return it.event == "host_ended" || it.event == "host_lapsed" || it.event == "job_failed";
}

} // namespace

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

void term::note_start(const workflow::task_name& task, std::int64_t run, core::mono_time at)
{
    ++load.counts.starts_ordered;
    const auto unix_ms = core::to_unix_ms(ctx.time.wall_now());
    if (const auto ready = coordinator::ready_since(fleet, task, run, at, unix_ms))
    {
        load.times.wait.add(at - *ready);
        observe(ctx.tel, "camphorhitch_start_wait_seconds", at - *ready);
    }
}

void term::note_read(core::micros took)
{
    load.times.read.add(took);
    observe(ctx.tel, "camphorhitch_job_read_seconds", took);
}

void term::note_stored()
{
    const auto at = now();
    for (const auto& [taken, ends] : load.ends.stored())
    {
        load.times.store.add(at - taken, ends);
        observe(ctx.tel, "camphorhitch_end_store_seconds", at - taken);
    }
}

ports::poll_order term::grant_lease(coordinator::host_entry& h, std::int64_t until_ms) const
{
    ports::poll_order out;
    out.fencing_token = token;
    out.acknowledged_through = h.last_stored_end;
    out.lease_until_ms = until_ms;
    coordinator::note_lease(h, until_ms);
    return out;
}

void term::lapse_hosts(coordinator::task_events& out)
{
    const auto at = now();
    for (const auto& it : coordinator::lapse_hosts(fleet, at, out))
    {
        ctx.tel.log(ports::log_level::warning, "leases_lapsed", lapse_fields(it, load, at));
    }
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
        ctx.tel.count("camphorhitch_fleet_events_total", {{"event", it.event}}, 1);
        if (is_proof(it))
        {
            ctx.tel.log(ports::log_level::info, it.event, std::move(fields));
        }
        else
        {
            log(ports::log_level::info, it.event, std::move(fields));
        }
    }
}

void term::fenced_by(const std::string& who)
{
    leave([who](leadership& it) { it.step_down("fenced by " + who); });
}

bool term::lost_key(const ports::commit_result& result)
{
    const auto is_own = [this](const ports::stored_item& it)
    {
        return it.key == leader_key && it.modified == token;
    };
    if (result.status != ports::kv_status::conflict ||
        std::any_of(result.current.begin(), result.current.end(), is_own))
    {
        return false;
    }
    fenced_by("the store");
    return true;
}

void term::leave(std::function<void(leadership&)> how)
{
    ctx.time.post(
        [weak = weak_from_this(), lead = lead, how = std::move(how)]
        {
            if (!weak.expired())
            {
                how(*lead);
            }
        });
}

} // namespace camphorhitch::hosted
