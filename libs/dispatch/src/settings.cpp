#include "dispatch/settings.hpp"

namespace camphorhitch::dispatch
{

namespace
{

void require_share(core::findings& out, const core::place& where, const char* name, double value)
{
    if (!(value >= 0 && value <= 1))
    {
        out.push_back({where, std::string{name} + " must be from 0 to 1", ""});
    }
}

void require_positive(
    core::findings& out, const core::place& where, const char* name, std::int64_t value)
{
    if (value <= 0)
    {
        out.push_back({where, std::string{name} + " must be above 0", ""});
    }
}

} // namespace

const model::class_limits& limits_of(const model::pool_config& pool, ports::request_class klass)
{
    switch (klass)
    {
    case ports::request_class::quick:
        return pool.quick;
    case ports::request_class::long_running:
        return pool.long_running;
    case ports::request_class::normal:
        break;
    }
    return pool.normal;
}

core::millis use_after_deadline(const dispatcher_settings& settings)
{
    return settings.permit_ttl + settings.result_grace + settings.clock_margin +
           settings.max_run_after_disconnect;
}

core::findings check(const dispatcher_settings& settings, const std::string& name)
{
    core::findings out;
    const core::place where{name, "", 0, 0};
    require_positive(out, where, "permit_ttl", settings.permit_ttl.count());
    require_positive(out, where, "shortest_retry_after", settings.min_retry_after.count());
    require_positive(out, where, "first_probe", settings.health.first_probe_delay.count());
    require_positive(out, where, "failures_in_a_row", settings.health.failures_in_a_row);
    require_share(out, where, "aged_share", settings.aged_share);
    require_share(out, where, "aged_slots", settings.aged_slots);
    require_share(out, where, "failure_ratio", settings.health.failure_ratio);
    require_share(out, where, "most_ejected", settings.health.max_ejected_share);
    if (settings.max_retry_after < settings.min_retry_after)
    {
        out.push_back({where, "longest_retry_after is below shortest_retry_after", ""});
    }
    if (settings.health.max_probe_interval < settings.health.first_probe_delay)
    {
        out.push_back({where, "longest_probe is below first_probe", ""});
    }
    return out;
}

} // namespace camphorhitch::dispatch
