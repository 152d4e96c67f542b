#include "term.hpp"

#include "coordinator/fencing_tokens.hpp"
#include "coordinator/intake.hpp"
#include "hosted/keys.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

void observe(const ports::telemetry& tel, const char* name, core::micros duration)
{
    tel.observe(name, {}, std::chrono::duration<double>(duration).count());
}

/// \return whether the event is exempt from the log rate limit. A run that was doubled or lost is
/// traced by these lines, and there is at most one per incarnation of a runner and per order. The
/// needs of the pools are logged at intervals.
bool is_always_logged(const coordinator::task_event& it)
{
    return it.event == "pool_need" || it.event == "host_ended" || it.event == "host_lapsed" ||
           it.event == "host_restarted" || it.event == "earlier_calls_refused" ||
           it.event == "job_failed";
}

} // namespace

void term::log(ports::log_level level, std::string event, ports::log_fields fields)
{
    if (!allow_line(log_limiter, now()))
    {
        return;
    }
    if (const auto n = take_suppressed_count(log_limiter, now()); n > 0)
    {
        ctx.tel.log(ports::log_level::warning, "lines_left_out", {{"count", std::to_string(n)}});
    }
    ctx.tel.log(level, std::move(event), std::move(fields));
}

void term::record_start(const workflow::task_name& task, std::int64_t run, core::mono_time at)
{
    ++load.counts.starts_ordered;
    const auto unix_ms = core::to_unix_ms(ctx.time.wall_now());
    if (const auto ready = coordinator::task_ready_time(fleet, task, run, at, unix_ms))
    {
        load.times.start_wait.add(at - *ready);
        observe(ctx.tel, "camphorhitch_start_wait_seconds", at - *ready);
    }
}

void term::record_job_read(core::micros duration)
{
    load.times.job_read.add(duration);
    observe(ctx.tel, "camphorhitch_job_read_seconds", duration);
}

void term::record_ends_stored()
{
    const auto at = now();
    for (const auto& [applied_at, ends] : load.ends.take_stored())
    {
        load.times.end_store.add(at - applied_at, ends);
        observe(ctx.tel, "camphorhitch_end_store_seconds", at - applied_at);
    }
}

void term::record_own_writes()
{
    ctx.store.commit = [weak = weak_from_this(), own = token, commit = ctx.store.commit](
                           ports::store_transaction change, auto done)
    {
        const auto proves = [own](const auto& it)
        {
            return it.key == leader_key && it.expected == own;
        };
        const bool proves_lead =
            std::any_of(change.conditions.begin(), change.conditions.end(), proves);
        commit(std::move(change),
            [weak, proves_lead, done = std::move(done)](const ports::commit_result& result)
            {
                const auto self = weak.lock();
                if (self && proves_lead && result.status == ports::kv_status::ok)
                {
                    coordinator::record_own_write(self->fleet, result.modified);
                }
                done(result);
            });
    };
}

ports::poll_order term::grant_lease(coordinator::host_entry& h, std::int64_t until_ms) const
{
    ports::poll_order out;
    out.fencing_token = coordinator::fencing_token_for(fleet, h.ref.id);
    // A poll that may reach the next incarnation late would acknowledge the ends of that one, so a
    // number is sent only until a poll with it was answered.
    out.acknowledged_through = h.last_stored_end > h.acknowledged_end ? h.last_stored_end : 0;
    out.lease_until_ms = until_ms;
    coordinator::record_lease(h, until_ms);
    return out;
}

void term::expire_hosts(coordinator::task_events& out)
{
    const auto at = now();
    for (const auto& it : coordinator::expire_hosts(fleet, at, out))
    {
        ctx.tel.log(ports::log_level::warning, "leases_lapsed", lease_expiry_fields(it, load, at));
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
        if (is_always_logged(it))
        {
            ctx.tel.log(ports::log_level::info, it.event, std::move(fields));
        }
        else
        {
            log(ports::log_level::info, it.event, std::move(fields));
        }
    }
}

void term::step_down_fenced(const std::string& who)
{
    schedule_end([who](leadership& it) { it.step_down("fenced by " + who); });
}

bool term::lost_leadership(const ports::commit_result& result)
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
    step_down_fenced("the store");
    return true;
}

void term::schedule_end(std::function<void(leadership&)> how)
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
