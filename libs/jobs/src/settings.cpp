#include "jobs/settings.hpp"

namespace camphorhitch::jobs
{

namespace
{

/// The service's bound on a value is a megabyte; the rest is left to the request's own framing.
constexpr std::size_t largest_value = 950000;

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
    made_.lease_ttl = ttl;
    made_.lease_margin = margin;
    return *this;
}

settings_builder& settings_builder::report_patience(core::millis patience)
{
    made_.report_patience = patience;
    return *this;
}

settings_builder& settings_builder::document_bounds(
    std::size_t jobs, std::size_t bytes, std::size_t payload)
{
    made_.most_jobs = jobs;
    made_.most_bytes = bytes;
    made_.most_payload = payload;
    return *this;
}

settings_builder& settings_builder::quantiles(double processors, double memory, double run_time)
{
    made_.processors_quantile = processors;
    made_.memory_quantile = memory;
    made_.time_quantile = run_time;
    return *this;
}

settings_builder& settings_builder::urgent_patience(core::millis patience)
{
    made_.urgent_patience = patience;
    return *this;
}

settings_builder& settings_builder::drain_patience(core::millis checkpoint, core::millis finish)
{
    made_.drain_patience = checkpoint;
    made_.finish_patience = finish;
    return *this;
}

settings_builder& settings_builder::throttled_share(double share)
{
    made_.throttled_share = share;
    return *this;
}

settings_builder& settings_builder::lazy_write(core::millis longest)
{
    made_.lazy_write = longest;
    return *this;
}

settings_builder& settings_builder::keep_over(core::millis time)
{
    made_.keep_over = time;
    return *this;
}

std::variant<settings, core::findings> settings_builder::build() const
{
    core::findings all;
    expect(all, made_.lease_ttl.count() > 0, "/lease_ttl", "must be above 0");
    expect(all, made_.lease_margin.count() > 0, "/lease_margin", "must be above 0");
    expect(all,
        made_.report_patience < made_.lease_ttl,
        "/report_patience",
        "must be below lease_ttl, or a lost worker's leases would be renewed for ever");
    expect(all, made_.most_jobs > 0, "/most_jobs", "must be above 0");
    expect(all, made_.most_bytes <= largest_value, "/most_bytes", "must be at most 950000");
    expect(all,
        made_.most_payload * 2 < made_.most_bytes,
        "/most_payload",
        "must be below half of most_bytes");
    expect(all, is_share(made_.processors_quantile), "/processors_quantile", "must be in (0, 1]");
    expect(all, is_share(made_.memory_quantile), "/memory_quantile", "must be in (0, 1]");
    expect(all, is_share(made_.time_quantile), "/time_quantile", "must be in (0, 1]");
    expect(all, is_share(made_.throttled_share), "/throttled_share", "must be in (0, 1]");
    if (!all.empty())
    {
        return all;
    }
    return made_;
}

} // namespace camphorhitch::jobs
