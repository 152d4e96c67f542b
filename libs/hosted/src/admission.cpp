#include "admission.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace camphorhitch::hosted
{

namespace
{

/// \return whether all tasks of the job are due at its acceptance and compete for the capacity that
/// the forecast counts. Best-effort tasks use only processor time that others leave.
bool is_plain_batch(const workflow::job& j)
{
    return !workflow::is_scheduled(j) && !j.needs_advice &&
           std::none_of(j.steps.begin(),
               j.steps.end(),
               [](const workflow::step& s) { return s.long_running || s.best_effort; });
}

/// \return the time after which the caller of a refused job may return, in whole seconds: when the
/// admitted work is done, and up to as long again. The first part stays so far below the upper
/// bound that the returns of a long backlog are spread over several seconds as well; otherwise all
/// of them would come in the second of the bound.
core::millis retry_time(
    const pool_digest& pool, core::millis digest_age, const admission_settings& s, double spread)
{
    constexpr double max_first_share = 0.6;
    const auto most = static_cast<double>(s.max_retry_after.count());
    const auto done_in =
        std::max(pool.admitted_core_ms / pool.cores - static_cast<double>(digest_age.count()), 0.0);
    const auto first = std::min(done_in, most * max_first_share);
    const auto last = std::min(2 * done_in, most);
    const auto chosen = first + (last - first) * std::clamp(spread, 0.0, 1.0);
    const auto whole = std::chrono::ceil<std::chrono::seconds>(
        core::millis{static_cast<std::int64_t>(std::ceil(chosen))});
    return std::clamp<core::millis>(whole, s.min_retry_after, s.max_retry_after);
}

admission_decision accept(const char* reason)
{
    admission_decision out;
    out.reason = reason;
    return out;
}

} // namespace

admission_decision judge_submission(const workflow::job& j,
    const forecast_digest& digest,
    core::millis digest_age,
    const admission_settings& s,
    double spread)
{
    if (!is_plain_batch(j))
    {
        return accept("not_batch");
    }
    if (digest.pools.empty())
    {
        return accept("no_digest");
    }
    if (digest_age > s.max_digest_age || digest_age < core::millis{0})
    {
        return accept("digest_old");
    }
    const auto it = digest.pools.find(j.pool);
    if (it == digest.pools.end() || !(it->second.cores > 0))
    {
        return accept("pool_unknown");
    }
    auto out = accept("in_time");
    const auto chain = coordinator::expected_critical_path(digest.times, j.steps);
    const auto wait = std::max(it->second.wait - digest_age, core::millis{0});
    const auto tolerance =
        s.late_tolerance + core::millis{static_cast<std::int64_t>(
                               static_cast<double>(chain.count()) * s.chain_tolerance)};
    out.expected = wait + chain;
    out.objective = coordinator::completion_objective(digest.times, j);
    // A job that is too long for its objective even on an idle pool is no reason of load.
    if (wait > core::millis{0} && out.expected > out.objective + tolerance)
    {
        out.accepted = false;
        out.reason = "hopeless";
        out.retry_after = retry_time(it->second, digest_age, s, spread);
    }
    return out;
}

} // namespace camphorhitch::hosted
