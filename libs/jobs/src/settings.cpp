#include "jobs/settings.hpp"

namespace camphorhitch::jobs
{

namespace
{

/// The key-value service limits a value to one megabyte; the remainder is left for the framing of
/// the request.
constexpr std::size_t max_value_bytes = 950000;

void expect(core::findings& all, bool holds, const char* pointer, const char* text)
{
    if (!holds)
    {
        all.push_back({{"jobs", pointer, 0, 0}, text, ""});
    }
}

bool is_share(double v)
{
    return v > 0 && v <= 1;
}

} // namespace

settings_builder& settings_builder::lease(core::millis ttl, core::millis margin)
{
    settings_.lease_ttl = ttl;
    settings_.lease_margin = margin;
    return *this;
}

settings_builder& settings_builder::report_timeout(core::millis timeout)
{
    settings_.report_timeout = timeout;
    return *this;
}

settings_builder& settings_builder::document_bounds(
    std::size_t jobs, std::size_t bytes, std::size_t payload)
{
    settings_.max_jobs = jobs;
    settings_.max_document_bytes = bytes;
    settings_.max_payload_bytes = payload;
    return *this;
}

settings_builder& settings_builder::quantiles(double processors, double memory, double run_time)
{
    settings_.processors_quantile = processors;
    settings_.memory_quantile = memory;
    settings_.time_quantile = run_time;
    return *this;
}

settings_builder& settings_builder::preemption_checkpoint_timeout(core::millis timeout)
{
    settings_.preemption_checkpoint_timeout = timeout;
    return *this;
}

settings_builder& settings_builder::drain_timeouts(core::millis checkpoint, core::millis finish)
{
    settings_.drain_checkpoint_timeout = checkpoint;
    settings_.drain_finish_window = finish;
    return *this;
}

settings_builder& settings_builder::throttled_share(double share)
{
    settings_.throttled_share = share;
    return *this;
}

settings_builder& settings_builder::lazy_write_delay(core::millis delay)
{
    settings_.lazy_write_delay = delay;
    return *this;
}

settings_builder& settings_builder::terminal_job_retention(core::millis time)
{
    settings_.terminal_job_retention = time;
    return *this;
}

std::variant<settings, core::findings> settings_builder::build() const
{
    core::findings all;
    expect(all, settings_.lease_ttl.count() > 0, "/lease_ttl", "must be above 0");
    expect(all, settings_.lease_margin.count() > 0, "/lease_margin", "must be above 0");
    expect(all,
        settings_.report_timeout < settings_.lease_ttl,
        "/report_patience",
        "must be below lease_ttl, or a lost worker's leases would be renewed for ever");
    expect(all, settings_.max_jobs > 0, "/most_jobs", "must be above 0");
    expect(all,
        settings_.max_document_bytes <= max_value_bytes,
        "/most_bytes",
        "must be at most 950000");
    expect(all,
        settings_.max_payload_bytes * 2 < settings_.max_document_bytes,
        "/most_payload",
        "must be below half of most_bytes");
    expect(
        all, is_share(settings_.processors_quantile), "/processors_quantile", "must be in (0, 1]");
    expect(all, is_share(settings_.memory_quantile), "/memory_quantile", "must be in (0, 1]");
    expect(all, is_share(settings_.time_quantile), "/time_quantile", "must be in (0, 1]");
    expect(all, is_share(settings_.throttled_share), "/throttled_share", "must be in (0, 1]");
    if (!all.empty())
    {
        return all;
    }
    return settings_;
}

} // namespace camphorhitch::jobs
