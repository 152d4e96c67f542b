#include "coordinator/demand.hpp"

#include "bookkeeping.hpp"
#include "coordinator/learning.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0; ///< thousandths in a core, milliseconds in a second
constexpr std::size_t most_history = 16;
/// A rate below this is noise: one small task.
constexpr double least_busy_cores = 16.0;
/// Distances between busy times that differ by more than this share are no pattern.
constexpr double pattern_tolerance = 0.35;

double decay(core::micros passed, core::millis memory)
{
    const double t = std::chrono::duration<double, std::milli>(passed).count();
    return std::exp(-t / static_cast<double>(memory.count()));
}

void let_decay(const demand_settings& s, pool_arrivals& p, core::mono_time now)
{
    const auto passed = std::max(now - p.updated, core::micros{0}); // clocks of hosts differ
    p.fast *= decay(passed, s.rate_memory);
    p.jobs *= decay(passed, s.rate_memory);
    p.middle *= decay(passed, s.trend_memory);
    p.slow *= decay(passed, s.long_memory);
    p.updated = std::max(p.updated, now);
}

void judge_busy(demand& d, const std::string& name, pool_arrivals& p, core::mono_time now)
{
    const bool high = p.jobs > d.settings.busy_jobs && p.fast > least_busy_cores &&
                      p.fast > d.settings.busy_factor * std::max(p.slow, 1.0);
    if (high && !p.busy)
    {
        p.busy = true;
        p.peak = 0;
        d.history.push_back({name, now});
        if (d.history.size() > most_history)
        {
            d.history.pop_front();
        }
    }
    else if (p.busy && p.fast < p.slow)
    {
        p.busy = false;
    }
    p.peak = std::max(p.peak, p.fast);
}

/// \return the usual distance between the busy times of two pools that follow each other.
std::optional<core::micros> usual_gap(const std::deque<busy_begin>& h)
{
    if (h.size() < 2)
    {
        return std::nullopt;
    }
    std::vector<core::micros> gaps;
    for (std::size_t i = 1; i < h.size(); ++i)
    {
        gaps.push_back(h[i].at - h[i - 1].at);
    }
    auto sorted = gaps;
    std::sort(sorted.begin(), sorted.end());
    const auto median = sorted[sorted.size() / 2];
    const auto off = std::abs(static_cast<double>((gaps.back() - median).count()));
    if (off > pattern_tolerance * static_cast<double>(median.count()))
    {
        return std::nullopt;
    }
    return median;
}

/// \return when the pool's latest busy time began.
std::optional<core::mono_time> latest_begin(const demand& d, const std::string& pool)
{
    const auto it = std::find_if(
        d.history.rbegin(), d.history.rend(), [&](const busy_begin& b) { return b.pool == pool; });
    return it == d.history.rend() ? std::nullopt : std::optional(it->at);
}

/// Before the newest pool was ever followed by another, only the last of a first round is certain.
/// \return whether \p pool is the only one that was not busy yet.
bool is_last_of_round(const demand& d, const std::string& pool)
{
    std::size_t never = 0;
    for (const auto& [name, p] : d.pools)
    {
        never += latest_begin(d, name) ? 0 : 1;
    }
    return never == 1 && !latest_begin(d, pool);
}

/// All pools were busy once, and the newest was followed by none yet: the round begins anew with
/// the one whose busy time lies longest back.
bool begins_next_round(const demand& d, const std::string& pool)
{
    std::optional<core::mono_time> oldest;
    for (const auto& [name, p] : d.pools)
    {
        const auto at = latest_begin(d, name);
        if (!at)
        {
            return false;
        }
        oldest = oldest ? std::min(*oldest, *at) : *at;
    }
    return oldest && latest_begin(d, pool) == oldest;
}

/// \return how many times its present value a trend may raise the pool's rate to.
double steepest_of(const demand_settings& s, const pool_arrivals& p)
{
    return 1 +
           (s.steepest - 1) * (1 + std::min(1.0, p.jobs / s.trusted_jobs) * (s.trusted_factor - 1));
}

/// \return the rate expected after the foresight, by the present trend.
double rate_ahead(const demand_settings& s, const pool_arrivals& p)
{
    // For a steady rise both rates lag behind it by their memories; so their distance is the rise
    // within the difference of the memories.
    const double lag = static_cast<double>((s.trend_memory - s.rate_memory).count());
    const double ahead = static_cast<double>((s.foresight + s.rate_memory).count());
    const double risen = p.fast + (p.fast - p.middle) / lag * ahead;
    return std::clamp(risen, 0.0, p.fast * steepest_of(s, p));
}

/// \return the highest peak of any pool: what a pool is expected to ask that was not busy yet.
double highest_peak(const demand& d)
{
    double most = 0;
    for (const auto& [name, p] : d.pools)
    {
        most = std::max(most, p.peak);
    }
    return most;
}

} // namespace

void note_arrival(demand& d, const std::string& pool, double core_seconds, core::mono_time now)
{
    auto [it, added] = d.pools.try_emplace(pool);
    auto& p = it->second;
    if (added)
    {
        p.updated = now;
    }
    let_decay(d.settings, p, now);
    p.fast += core_seconds * milli / static_cast<double>(d.settings.rate_memory.count());
    p.middle += core_seconds * milli / static_cast<double>(d.settings.trend_memory.count());
    p.jobs += 1;
    p.slow += core_seconds * milli / static_cast<double>(d.settings.long_memory.count());
    judge_busy(d, pool, p, now);
}

void resume_demand(demand& d, core::mono_time now)
{
    for (auto& [name, p] : d.pools)
    {
        const auto passed = std::max(now - p.updated, core::micros{0});
        p.slow *= decay(passed, d.settings.long_memory);
        p.updated = std::max(p.updated, now);
    }
}

void update_demand(demand& d, core::mono_time now)
{
    for (auto& [name, p] : d.pools)
    {
        let_decay(d.settings, p, now);
        judge_busy(d, name, p, now);
    }
}

std::optional<core::mono_time> next_busy(const demand& d, const std::string& pool)
{
    const auto& h = d.history;
    const auto gap = usual_gap(h);
    if (!gap)
    {
        return std::nullopt;
    }
    // Who followed whom: the pool comes next when it once came right after the newest one.
    const auto& newest = h.back();
    for (std::size_t i = 0; i + 1 < h.size(); ++i)
    {
        if (h[i].pool == newest.pool)
        {
            return h[i + 1].pool == pool ? std::optional(newest.at + *gap) : std::nullopt;
        }
    }
    const bool next = is_last_of_round(d, pool) || begins_next_round(d, pool);
    return next ? std::optional(newest.at + *gap) : std::nullopt;
}

double cores_now(const fleet& f, const demand_settings& d, const job_entry& j)
{
    double sum = 0;
    for (std::size_t k = 0; k < j.steps.size(); ++k)
    {
        const auto& s = j.spec.steps[k % j.spec.steps.size()];
        if (s.long_running || s.best_effort)
        {
            continue;
        }
        const auto occurrence = static_cast<int>(k / j.spec.steps.size());
        const auto step = static_cast<int>(k % j.spec.steps.size());
        const double cores = static_cast<double>(s.need.cpu) / milli;
        sum += cores * (s.tasks - j.steps[k].done - j.steps[k].idle);
        if (is_step_ready(j, occurrence, step))
        {
            const auto time = std::min(expected_time(f.run_time_estimates, s), d.horizon);
            sum += cores * j.steps[k].idle * static_cast<double>(time.count()) /
                   static_cast<double>(d.horizon.count());
        }
    }
    return sum;
}

namespace
{

void add_lasting(const job_entry& j, pool_need& to)
{
    for (const auto& s : j.spec.steps)
    {
        if (!s.long_running)
        {
            continue;
        }
        to.lasting_cores += static_cast<double>(s.need.cpu * s.tasks) / milli;
        const int each = s.max_per_host == 0 ? s.tasks : s.max_per_host;
        to.least_hosts = std::max(to.least_hosts, (s.tasks + each - 1) / each);
    }
}

} // namespace

std::map<std::string, pool_need> pool_needs(const fleet& f, const demand& d, core::mono_time now)
{
    std::map<std::string, pool_need> out;
    std::map<std::string, double> work;
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        if (!workflow::is_final(j.state))
        {
            add_lasting(j, out[j.spec.pool]);
            work[j.spec.pool] += cores_now(f, d.settings, j);
        }
    }
    for (const auto& [name, p] : d.pools)
    {
        out.try_emplace(name);
    }
    for (auto& [name, need] : out)
    {
        const auto found = d.pools.find(name);
        const auto p = found == d.pools.end() ? pool_arrivals{} : found->second;
        double batch = std::max(rate_ahead(d.settings, p), work[name]);
        const auto next = next_busy(d, name);
        if (next && now + d.settings.lead > *next && now < *next + d.settings.lead)
        {
            const double peak =
                (p.peak > least_busy_cores ? p.peak : highest_peak(d)) * d.settings.first_share;
            need.expected = peak > batch;
            batch = std::max(batch, peak);
        }
        const auto began = latest_begin(d, name);
        if (p.busy && began && now - *began < d.settings.young)
        {
            batch = std::max(batch, highest_peak(d) * d.settings.young_share);
        }
        need.cores = need.lasting_cores + batch * d.settings.margin;
    }
    return out;
}

} // namespace camphorhitch::coordinator
