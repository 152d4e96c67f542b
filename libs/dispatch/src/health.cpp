#include "health.hpp"

#include <algorithm>

namespace camphorhitch::dispatch
{

namespace
{

constexpr double sample_weight = 0.1; // weight of the newest request in the failure ratio

void add_sample(target_health& health, bool failed)
{
    health.failure_ratio += sample_weight * ((failed ? 1.0 : 0.0) - health.failure_ratio);
    health.samples += 1;
    health.failures_in_a_row = failed ? health.failures_in_a_row + 1 : 0;
}

/// Health of the serving targets of a pool.
struct pool_health
{
    int serving = 0;
    int ejected = 0;
    int others = 0;            ///< targets not ejected, without the excluded one
    double others_failing = 0; ///< mean failure ratio of those targets
};

pool_health summarize_pool(const pool_dispatcher& d, const target_state* but)
{
    pool_health out;
    for (const auto& [name, it] : d.targets)
    {
        if (!it.serving)
        {
            continue;
        }
        out.serving += 1;
        out.ejected += it.health.state == health_state::ejected ? 1 : 0;
        if (&it != but && it.health.state != health_state::ejected)
        {
            out.others += 1;
            out.others_failing += it.health.failure_ratio;
        }
    }
    out.others_failing = out.others == 0 ? 0 : out.others_failing / out.others;
    return out;
}

int max_ejected(const pool_dispatcher& d, const pool_health& all)
{
    return static_cast<int>(all.serving * d.settings.health.max_ejected_share);
}

bool fails_too_often(const target_health& health, const health_settings& limits)
{
    return health.failures_in_a_row >= limits.failures_in_a_row ||
           (health.samples >= limits.min_samples && health.failure_ratio >= limits.failure_ratio);
}

/// \return whether \p target may be ejected. A fault that all targets share, such as a bad release
/// or a database outage, would eject one target after the other and put the whole load on the last
/// ones, and callers would get refusals instead of the targets' own errors. So a target is ejected
/// only while the other targets fail less often than pool_failure_ratio, and the share of ejected
/// targets is limited.
bool may_eject(const pool_dispatcher& d, const target_state& target)
{
    const auto all = summarize_pool(d, &target);
    return all.ejected < max_ejected(d, all) &&
           all.others_failing < d.settings.health.pool_failure_ratio;
}

void eject(pool_dispatcher& d, target_state& target, core::mono_time now)
{
    auto& health = target.health;
    const auto& limits = d.settings.health;
    const bool again = health.probe_interval.count() > 0;
    health.probe_interval = again ? std::min(health.probe_interval * 2, limits.max_probe_interval)
                                  : limits.first_probe_delay;
    health.state = health_state::ejected;
    health.probe_at = now + health.probe_interval;
    health.allowance = 0;
    health.answers_since_return = 0;
    d.counters.ejections += 1;
    d.next_wakeup_at = std::min(d.next_wakeup_at, health.probe_at);
}

void start_recovery(target_health& health)
{
    health.state = health_state::recovering;
    health.allowance = 1;
    health.failures_in_a_row = 0;
    health.failure_ratio = 0;
    health.samples = 0;
    health.answers_since_return = 0;
}

} // namespace

int health_limit(const target_state& target, core::mono_time now)
{
    switch (target.health.state)
    {
    case health_state::ejected:
        return !target.health.probing && now >= target.health.probe_at ? target.slots : 0;
    case health_state::recovering:
        return target.health.allowance;
    case health_state::healthy:
        break;
    }
    return target.slots;
}

bool would_probe(const target_state& target, core::mono_time now)
{
    return target.health.state == health_state::ejected && health_limit(target, now) > 0;
}

void record_success(pool_dispatcher& d, target_state& target, bool probe)
{
    auto& health = target.health;
    if (health.state == health_state::ejected)
    {
        if (probe)
        {
            health.probing = false;
            start_recovery(health);
        }
        return; // a request sent before the ejection shows nothing about the current health
    }
    add_sample(health, false);
    health.answers_since_return += 1;
    if (health.state == health_state::recovering)
    {
        health.allowance = std::min(health.allowance * 2, target.slots);
        health.state =
            health.allowance == target.slots ? health_state::healthy : health_state::recovering;
    }
    if (health.answers_since_return >= d.settings.health.stable_after_answers)
    {
        health.probe_interval = core::millis{0};
    }
}

void record_failure(pool_dispatcher& d, target_state& target, bool probe, core::mono_time now)
{
    auto& health = target.health;
    if (health.state == health_state::ejected)
    {
        if (probe)
        {
            health.probing = false;
            eject(d, target, now);
        }
        return;
    }
    add_sample(health, true);
    const bool relapsed = health.state == health_state::recovering;
    if ((relapsed || fails_too_often(health, d.settings.health)) && may_eject(d, target))
    {
        eject(d, target, now);
    }
}

void record_unused(target_state& target, bool probe)
{
    target.health.probing = target.health.probing && !probe;
}

void limit_ejections(pool_dispatcher& d)
{
    auto all = summarize_pool(d, nullptr);
    for (auto& [name, it] : d.targets)
    {
        if (all.ejected <= max_ejected(d, all))
        {
            return;
        }
        if (it.serving && it.health.state == health_state::ejected)
        {
            it.health.probing = false;
            start_recovery(it.health);
            all.ejected -= 1;
        }
    }
}

} // namespace camphorhitch::dispatch
