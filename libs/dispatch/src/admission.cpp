#include "admission.hpp"

#include <algorithm>

namespace camphorhitch::dispatch
{

namespace
{

constexpr double sample_weight = 0.05; // weight of the newest wait in the mean
constexpr double us_per_second = 1e6;
/// Mean deviations above the mean run time; hardly any run takes longer.
constexpr double run_time_deviations = 8;

core::micros to_micros(double us)
{
    return core::micros{static_cast<std::int64_t>(us)};
}

int serving_slots(const pool_dispatcher& d)
{
    int n = 0;
    for (const auto& [name, it] : d.targets)
    {
        n += it.serving && it.health.state != health_state::ejected ? it.slots : 0;
    }
    return n;
}

bool any_serving(const pool_dispatcher& d)
{
    return std::any_of(d.targets.begin(),
        d.targets.end(),
        [](const auto& it) { return it.second.serving && it.second.slots > 0; });
}

void refill(pool_dispatcher& d, core::mono_time now)
{
    const auto since = static_cast<double>((now - d.retries.filled).count()) / us_per_second;
    const auto earned = std::max(0.0, since) * d.settings.retries_per_second;
    d.retries.tokens = std::min(d.settings.retry_burst, d.retries.tokens + earned);
    d.retries.filled = now;
}

/// Takes a token for a retry, or adds the share of a token that a first attempt earns. Retries
/// multiply the load of a failing pool when it can carry the least load. The token bucket limits
/// the retries of all senders together to a share of the first attempts. \return whether the
/// request may go on.
bool take_retry_token(pool_dispatcher& d, bool retry, core::mono_time now)
{
    refill(d, now);
    if (!retry)
    {
        d.retries.tokens = std::min(d.settings.retry_burst, d.retries.tokens + d.pool.retry_ratio);
        return true;
    }
    if (d.retries.tokens < 1)
    {
        return false;
    }
    d.retries.tokens -= 1;
    return true;
}

core::micros time_to_token(const pool_dispatcher& d)
{
    const auto missing = 1 - d.retries.tokens;
    const auto rate = d.settings.retries_per_second;
    return rate > 0 ? to_micros(missing / rate * us_per_second) : d.settings.max_retry_after;
}

} // namespace

core::micros expected_service(
    const pool_dispatcher& d, ports::request_class klass, core::millis declared)
{
    const auto& run = d.times[index_of(klass)].run;
    return run.samples > 0 ? mean_run_time(run) : core::micros{declared};
}

core::micros expected_wait(const pool_dispatcher& d, ports::request_class klass, std::size_t ahead)
{
    const auto& times = d.times[index_of(klass)];
    const auto slots = std::max(1, serving_slots(d));
    const auto guess = times.run.mean_us / slots;
    const auto each = times.per_position_us > 0 ? times.per_position_us : guess;
    return to_micros(each * static_cast<double>(ahead));
}

core::micros expected_run_after_disconnect(
    const pool_dispatcher& d, std::optional<ports::request_class> klass)
{
    const core::micros longest{d.settings.max_run_after_disconnect};
    if (!klass || d.times[index_of(*klass)].run.samples == 0)
    {
        return longest;
    }
    return std::min(longest, long_run_time(d.times[index_of(*klass)].run, run_time_deviations));
}

core::millis bounded_retry_after(const pool_dispatcher& d, core::micros wait)
{
    const auto it = std::chrono::duration_cast<core::millis>(wait);
    return std::clamp(it, d.settings.min_retry_after, d.settings.max_retry_after);
}

void record_wait(pool_dispatcher& d, const waiting_request& request, core::mono_time now)
{
    const auto waited = static_cast<double>((now - request.arrived).count());
    const auto position = static_cast<double>(std::max<std::size_t>(1, request.queue_position));
    auto& mean = d.times[index_of(request.klass)].per_position_us;
    mean += (mean == 0 ? 1.0 : sample_weight) * (waited / position - mean);
}

admission admit(pool_dispatcher& d, const ports::permit_request& request, core::mono_time now)
{
    if (!any_serving(d))
    {
        return {refusal::no_target, d.settings.no_target_retry_after};
    }
    const auto queued = d.queues[index_of(request.klass)].size();
    const auto room = static_cast<std::size_t>(limits_of(d.pool, request.klass).queue);
    const auto wait = expected_wait(d, request.klass, queued);
    if (queued >= room)
    {
        return {refusal::queue_full, bounded_retry_after(d, wait)};
    }
    const auto run = expected_service(d, request.klass, request.expected_run_time);
    if (request.time_left.count() <= 0 || (queued > 0 && wait + run > request.time_left))
    {
        return {refusal::deadline, bounded_retry_after(d, wait)};
    }
    if (!take_retry_token(d, request.retry, now))
    {
        return {refusal::retry_budget, bounded_retry_after(d, time_to_token(d))};
    }
    return {};
}

} // namespace camphorhitch::dispatch
