#include "load_watch.hpp"

#include "hosted/leadership.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

constexpr core::millis report_every{1000};
/// A delay that is shorter than this may be missed; twice as many timers would show 10 ms more.
constexpr core::millis probe_every{20};
/// Each costs two calls of the system and a turn of the loop.
constexpr core::millis socket_probe_every{100};

core::micros processor_time(const context& c)
{
    return c.processor_time ? c.processor_time() : core::micros{0};
}

void tell(const ports::telemetry& tel, const load_row& row)
{
    const auto value = static_cast<double>(row.value);
    if (row.kind == load_kind::count)
    {
        tel.count("camphorhitch_coordinator_done_total", {{"what", row.name}}, value);
    }
    else
    {
        tel.gauge("camphorhitch_coordinator_level", {{"what", row.name}}, value);
    }
}

} // namespace

load_watch::load_watch(term& t, std::function<void(core::micros)> on_delay)
    : term_(t), on_delay_(std::move(on_delay)), pace_(t)
{
}

load_watch::~load_watch()
{
    for (const auto& it : load_rows({}, {}))
    {
        tell(term_.ctx.tel, it);
    }
}

void load_watch::start()
{
    reported_ = term_.now();
    pace_.start();
    processor_ = processor_time(term_.ctx);
    wait();
}

void load_watch::wait()
{
    due_ = term_.now() + probe_every;
    term_.ctx.time.after(probe_every, term_.guarded([this] { probe(); }));
}

void load_watch::probe()
{
    const auto now = term_.now();
    term_.load.timer_delays.add(now, now - due_);
    overdue_ += now - due_;
    pace_.record_timer_delay(now, now - due_);
    probe_sockets(now);
    on_delay_(std::max(now - due_, sent_ ? now - *sent_ : core::micros{0}));
    if (now - reported_ >= report_every)
    {
        report(now);
    }
    wait();
}

/// One at a time; while it waits, the delay so far counts.
void load_watch::probe_sockets(core::mono_time now)
{
    if (sent_)
    {
        term_.load.socket_delays.add(now, now - *sent_);
        return;
    }
    if (!term_.ctx.post_behind_descriptors || now - sockets_probed_ < socket_probe_every)
    {
        return;
    }
    sent_ = now;
    sockets_probed_ = now;
    term_.ctx.post_behind_descriptors(term_.guarded(
        [this]
        {
            const auto at = term_.now();
            const auto late_by = at - *std::exchange(sent_, std::nullopt);
            term_.load.socket_delays.add(at, late_by);
            on_delay_(late_by);
        }));
}

load_moment load_watch::measure(core::mono_time now)
{
    load_moment m;
    m.fleet =
        coordinator::measure_load(term_.fleet, now, core::to_unix_ms(term_.ctx.time.wall_now()));
    m.span = std::chrono::duration_cast<core::millis>(now - reported_);
    const auto largest = [this](const loop_delays& of)
    {
        return std::chrono::ceil<core::millis>(of.largest_since(reported_));
    };
    m.timer_late = largest(term_.load.timer_delays);
    m.socket_late = largest(term_.load.socket_delays);
    m.overdue = std::chrono::round<core::millis>(std::exchange(overdue_, core::micros{0}));
    m.lease_age = term_.lead->take_max_lease_age();
    m.intake_age = std::chrono::duration_cast<core::millis>(now - term_.jobs_heard());
    if (term_.ctx.processor_time)
    {
        const auto used = processor_time(term_.ctx);
        m.processor = std::chrono::round<core::millis>(used - processor_);
        processor_ = used;
    }
    return m;
}

/// Past the budget of lines: in a storm of events these figures are what is left to judge by.
void load_watch::report(core::mono_time now)
{
    const auto moment = measure(now);
    const auto rows = load_rows(term_.load, moment);
    ports::log_fields fields{{"token", std::to_string(term_.token)}};
    for (const auto& it : rows)
    {
        fields.emplace_back(it.name, std::to_string(it.value));
        tell(term_.ctx.tel, it);
    }
    for (auto& it : time_fields(term_.load.times))
    {
        fields.push_back(std::move(it));
    }
    term_.ctx.tel.log(ports::log_level::info, "coordinator_load", std::move(fields));
    term_.load.counts = {};
    term_.load.times = {};
    reported_ = now;
}

} // namespace camphorhitch::hosted
