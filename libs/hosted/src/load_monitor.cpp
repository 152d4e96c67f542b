#include "load_monitor.hpp"

#include "hosted/leadership.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

constexpr core::millis report_interval{1000};
/// A delay that is shorter than this may go unnoticed; twice as many timers would reveal delays
/// that are 10 ms shorter.
constexpr core::millis probe_interval{20};
/// A socket probe costs two system calls and an iteration of the loop.
constexpr core::millis socket_probe_interval{100};

core::micros processor_time(const context& c)
{
    return c.processor_time ? c.processor_time() : core::micros{0};
}

void publish(const ports::telemetry& tel, const load_row& row)
{
    const auto value = static_cast<double>(row.value);
    if (row.kind == load_row_kind::counter)
    {
        tel.count("camphorhitch_coordinator_done_total", {{"what", row.name}}, value);
    }
    else
    {
        tel.gauge("camphorhitch_coordinator_level", {{"what", row.name}}, value);
    }
}

} // namespace

load_monitor::load_monitor(term& t, std::function<void(core::micros)> on_delay)
    : term_(t), on_delay_(std::move(on_delay)), lag_monitor_(t)
{
}

load_monitor::~load_monitor()
{
    for (const auto& it : load_rows({}, {}))
    {
        publish(term_.ctx.tel, it);
    }
}

void load_monitor::start()
{
    reported_at_ = term_.now();
    lag_monitor_.start();
    processor_at_report_ = processor_time(term_.ctx);
    schedule_probe();
}

void load_monitor::schedule_probe()
{
    probe_due_ = term_.now() + probe_interval;
    term_.ctx.time.after(probe_interval, term_.guarded([this] { probe(); }));
}

void load_monitor::probe()
{
    const auto now = term_.now();
    term_.load.timer_delays.add(now, now - probe_due_);
    overdue_ += now - probe_due_;
    lag_monitor_.record_timer_delay(now, now - probe_due_);
    probe_sockets(now);
    on_delay_(std::max(
        now - probe_due_, socket_probe_sent_at_ ? now - *socket_probe_sent_at_ : core::micros{0}));
    if (now - reported_at_ >= report_interval)
    {
        report(now);
    }
    schedule_probe();
}

/// Sends one socket probe at a time; while a probe waits, its delay so far is recorded.
void load_monitor::probe_sockets(core::mono_time now)
{
    if (socket_probe_sent_at_)
    {
        term_.load.socket_delays.add(now, now - *socket_probe_sent_at_);
        return;
    }
    if (!term_.ctx.post_behind_descriptors || now - sockets_probed_at_ < socket_probe_interval)
    {
        return;
    }
    socket_probe_sent_at_ = now;
    sockets_probed_at_ = now;
    term_.ctx.post_behind_descriptors(term_.guarded(
        [this]
        {
            const auto at = term_.now();
            const auto late_by = at - *std::exchange(socket_probe_sent_at_, std::nullopt);
            term_.load.socket_delays.add(at, late_by);
            on_delay_(late_by);
        }));
}

load_sample load_monitor::measure(core::mono_time now)
{
    load_sample m;
    m.fleet =
        coordinator::measure_load(term_.fleet, now, core::to_unix_ms(term_.ctx.time.wall_now()));
    m.span = std::chrono::duration_cast<core::millis>(now - reported_at_);
    const auto max_delay = [this](const loop_delay_history& of)
    {
        return std::chrono::ceil<core::millis>(of.max_since(reported_at_));
    };
    m.max_timer_delay = max_delay(term_.load.timer_delays);
    m.max_socket_delay = max_delay(term_.load.socket_delays);
    m.overdue = std::chrono::round<core::millis>(std::exchange(overdue_, core::micros{0}));
    m.lease_age = term_.lead->take_max_lease_age();
    m.intake_age = std::chrono::duration_cast<core::millis>(now - term_.last_job_answer_at());
    if (term_.ctx.processor_time)
    {
        const auto used = processor_time(term_.ctx);
        m.processor_time_used = std::chrono::round<core::millis>(used - processor_at_report_);
        processor_at_report_ = used;
    }
    return m;
}

/// The report is not subject to the log rate limit: in an event storm these values are all that
/// shows the state of the coordinator.
void load_monitor::report(core::mono_time now)
{
    const auto moment = measure(now);
    const auto rows = load_rows(term_.load, moment);
    ports::log_fields fields{{"token", std::to_string(term_.token)}};
    for (const auto& it : rows)
    {
        fields.emplace_back(it.name, std::to_string(it.value));
        publish(term_.ctx.tel, it);
    }
    for (auto& it : duration_fields(term_.load.times))
    {
        fields.push_back(std::move(it));
    }
    term_.ctx.tel.log(ports::log_level::info, "coordinator_load", std::move(fields));
    term_.load.counts = {};
    term_.load.times = {};
    reported_at_ = now;
}

} // namespace camphorhitch::hosted
