#include "coordinator/demand.hpp"

#include "bookkeeping.hpp"
#include "coordinator/run_time_estimates.hpp"
#include "task_mix.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0; ///< thousandths of a core, milliseconds in a second
constexpr std::size_t max_history = 16;
/// Rates below this are noise: one small task.
constexpr double min_busy_cores = 16.0;
/// Intervals between busy periods that differ by more than this share are no pattern.
constexpr double pattern_tolerance = 0.35;

double decay(core::micros passed, core::millis memory)
{
    const double t = std::chrono::duration<double, std::milli>(passed).count();
    return std::exp(-t / static_cast<double>(memory.count()));
}

void decay_rates(const demand_settings& s, pool_arrivals& p, core::mono_time now)
{
    // The time of an arrival may be later than now, since clocks of hosts differ.
    const auto passed = std::max(now - p.updated_at, core::micros{0});
    p.fast_rate *= decay(passed, s.rate_time_constant);
    p.recent_jobs *= decay(passed, s.rate_time_constant);
    p.medium_rate *= decay(passed, s.trend_time_constant);
    p.slow_rate *= decay(passed, s.long_time_constant);
    p.updated_at = std::max(p.updated_at, now);
}

void update_busy_state(demand& d, const std::string& name, pool_arrivals& p, core::mono_time now)
{
    const bool high = p.recent_jobs > d.settings.busy_jobs && p.fast_rate > min_busy_cores &&
                      p.fast_rate > d.settings.busy_factor * std::max(p.slow_rate, 1.0);
    if (high && !p.busy)
    {
        p.busy = true;
        p.peak_rate = 0;
        d.history.push_back({name, now});
        if (d.history.size() > max_history)
        {
            d.history.pop_front();
        }
    }
    else if (p.busy && p.fast_rate < p.slow_rate)
    {
        p.busy = false;
    }
    p.peak_rate = std::max(p.peak_rate, p.fast_rate);
}

/// \return the median interval between the starts of successive busy periods of any pools; nothing
/// when there are fewer than two, or when the latest interval is far from the median.
std::optional<core::micros> median_interval(const std::deque<busy_start>& h)
{
    if (h.size() < 2)
    {
        return std::nullopt;
    }
    std::vector<core::micros> intervals;
    for (std::size_t i = 1; i < h.size(); ++i)
    {
        intervals.push_back(h[i].at - h[i - 1].at);
    }
    auto sorted = intervals;
    std::sort(sorted.begin(), sorted.end());
    const auto median = sorted[sorted.size() / 2];
    const auto off = std::abs(static_cast<double>((intervals.back() - median).count()));
    if (off > pattern_tolerance * static_cast<double>(median.count()))
    {
        return std::nullopt;
    }
    return median;
}

/// \return the start of the pool's latest busy period.
std::optional<core::mono_time> latest_busy_start(const demand& d, const std::string& pool)
{
    const auto it = std::find_if(
        d.history.rbegin(), d.history.rend(), [&](const busy_start& b) { return b.pool == pool; });
    return it == d.history.rend() ? std::nullopt : std::optional(it->at);
}

/// While no pool has followed the newest one yet, the next pool is certain only when a single pool
/// of the first round is left.
/// \return whether \p pool is the only one that was not busy yet.
bool is_last_of_round(const demand& d, const std::string& pool)
{
    std::size_t never = 0;
    for (const auto& [name, p] : d.pools)
    {
        never += latest_busy_start(d, name) ? 0 : 1;
    }
    return never == 1 && !latest_busy_start(d, pool);
}

/// When all pools were busy once and no pool has followed the newest one yet, the round starts
/// again with the pool whose busy period is longest ago.
/// \return whether \p pool is that pool.
bool is_first_of_next_round(const demand& d, const std::string& pool)
{
    std::optional<core::mono_time> oldest;
    for (const auto& [name, p] : d.pools)
    {
        const auto at = latest_busy_start(d, name);
        if (!at)
        {
            return false;
        }
        oldest = oldest ? std::min(*oldest, *at) : *at;
    }
    return oldest && latest_busy_start(d, pool) == oldest;
}

/// \return the multiple of its present value to which a trend may raise the pool's rate.
double trend_limit(const demand_settings& s, const pool_arrivals& p)
{
    return 1 + (s.max_trend_factor - 1) *
                   (1 + std::min(1.0, p.recent_jobs / s.trusted_jobs) * (s.trusted_factor - 1));
}

/// \return the rate expected after trend_lookahead, extrapolated from the present trend.
double forecast_rate(const demand_settings& s, const pool_arrivals& p)
{
    // On a steady rise each rate lags behind by its time constant, so their difference is the rise
    // within the difference of the time constants.
    const double lag = static_cast<double>((s.trend_time_constant - s.rate_time_constant).count());
    const double ahead = static_cast<double>((s.trend_lookahead + s.rate_time_constant).count());
    const double risen = p.fast_rate + (p.fast_rate - p.medium_rate) / lag * ahead;
    return std::clamp(risen, 0.0, p.fast_rate * trend_limit(s, p));
}

/// \return the highest peak of any pool, the expected peak of a pool that was not busy yet.
double highest_peak(const demand& d)
{
    double most = 0;
    for (const auto& [name, p] : d.pools)
    {
        most = std::max(most, p.peak_rate);
    }
    return most;
}

} // namespace

void record_arrival(demand& d, const std::string& pool, double core_seconds, core::mono_time now)
{
    auto [it, added] = d.pools.try_emplace(pool);
    auto& p = it->second;
    if (added)
    {
        p.updated_at = now;
    }
    decay_rates(d.settings, p, now);
    p.fast_rate +=
        core_seconds * milli / static_cast<double>(d.settings.rate_time_constant.count());
    p.medium_rate +=
        core_seconds * milli / static_cast<double>(d.settings.trend_time_constant.count());
    p.recent_jobs += 1;
    p.slow_rate +=
        core_seconds * milli / static_cast<double>(d.settings.long_time_constant.count());
    update_busy_state(d, pool, p, now);
}

void resume_demand(demand& d, core::mono_time now)
{
    for (auto& [name, p] : d.pools)
    {
        const auto passed = std::max(now - p.updated_at, core::micros{0});
        p.slow_rate *= decay(passed, d.settings.long_time_constant);
        p.updated_at = std::max(p.updated_at, now);
    }
}

void update_demand(demand& d, core::mono_time now)
{
    for (auto& [name, p] : d.pools)
    {
        decay_rates(d.settings, p, now);
        update_busy_state(d, name, p, now);
    }
}

std::optional<core::mono_time> next_busy_time(const demand& d, const std::string& pool)
{
    const auto& h = d.history;
    const auto interval = median_interval(h);
    if (!interval)
    {
        return std::nullopt;
    }
    // The pool is next if it once came right after the newest one.
    const auto& newest = h.back();
    for (std::size_t i = 0; i + 1 < h.size(); ++i)
    {
        if (h[i].pool == newest.pool)
        {
            return h[i + 1].pool == pool ? std::optional(newest.at + *interval) : std::nullopt;
        }
    }
    const bool next = is_last_of_round(d, pool) || is_first_of_next_round(d, pool);
    return next ? std::optional(newest.at + *interval) : std::nullopt;
}

namespace
{

/// Cores for the batch tasks of a job. Tasks of later steps don't count: more hosts would not speed
/// them up.
struct job_cores
{
    double running = 0;
    double waiting = 0; ///< for its ready tasks to be done within the horizon
};

/// \return the factor by which the waiting work of the job counts: hosts that arrive after
/// trend_lookahead can't complete all jobs in time.
double waiting_work_share(const demand_settings& d, const job_entry& j, core::mono_time now)
{
    const auto& it = j.forecast;
    const bool could_be_in_time = !it.outlook || it.outlook == job_outlook::in_time ||
                                  now + d.trend_lookahead <= it.latest_start;
    return d.discounts_late_work && !could_be_in_time ? d.late_work_share : 1;
}

job_cores cores_for(
    const fleet& f, const demand_settings& d, const job_entry& j, core::mono_time now)
{
    job_cores out;
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
        out.running += cores * (s.tasks - j.steps[k].done - j.steps[k].idle);
        if (is_step_ready(j, occurrence, step))
        {
            const auto time = std::min(expected_run_time(f.run_time_estimates, s), d.horizon);
            out.waiting += cores * j.steps[k].idle * static_cast<double>(time.count()) /
                           static_cast<double>(d.horizon.count());
        }
    }
    out.waiting *= waiting_work_share(d, j, now);
    return out;
}

/// Hosts for tasks that wait for the cap of their workspace would stay empty.
/// \return the part of the waiting work that its workspace's cap allows
double within_cap(const fleet& f,
    const std::string& workspace,
    double waiting,
    std::map<std::string, double>& room)
{
    if (workspace.empty())
    {
        return waiting;
    }
    auto found = room.find(workspace);
    if (found == room.end())
    {
        found = room.emplace(workspace, cores_below_cap(f, workspace)).first;
    }
    const auto allowed = std::min(waiting, found->second);
    found->second -= allowed;
    return allowed;
}

} // namespace

namespace
{

void add_long_running(const job_entry& j, pool_need& to)
{
    for (const auto& s : j.spec.steps)
    {
        if (!s.long_running)
        {
            continue;
        }
        to.long_running_cores += static_cast<double>(s.need.cpu * s.tasks) / milli;
        const int each = s.max_per_host == 0 ? s.tasks : s.max_per_host;
        to.min_hosts = std::max(to.min_hosts, (s.tasks + each - 1) / each);
        add_long_running_tasks(s, to);
    }
}

} // namespace

std::map<std::string, pool_need> pool_needs(const fleet& f, const demand& d, core::mono_time now)
{
    std::map<std::string, pool_need> out;
    std::map<std::string, double> work;
    std::map<std::string, double> room; // below the cap, by workspace
    std::map<std::string, batch_mix> mixes;
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        if (!workflow::is_final(j.state))
        {
            add_long_running(j, out[j.spec.pool]);
            add_batch_tasks(f, d.settings, j, mixes[j.spec.pool]);
            const auto cores = cores_for(f, d.settings, j, now);
            work[j.spec.pool] +=
                cores.running + within_cap(f, j.spec.workspace, cores.waiting, room);
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
        double batch = std::max(forecast_rate(d.settings, p), work[name]);
        const auto next = next_busy_time(d, name);
        if (next && now + d.settings.busy_lead_time > *next &&
            now < *next + d.settings.busy_lead_time)
        {
            const double peak = (p.peak_rate > min_busy_cores ? p.peak_rate : highest_peak(d)) *
                                d.settings.initial_share;
            need.busy_expected = peak > batch;
            batch = std::max(batch, peak);
        }
        const auto busy_since = latest_busy_start(d, name);
        if (p.busy && busy_since && now - *busy_since < d.settings.early_phase)
        {
            batch = std::max(batch, highest_peak(d) * d.settings.early_phase_share);
        }
        need.cores = need.long_running_cores + batch * d.settings.margin;
    }
    set_batch_needs(f, mixes, out);
    return out;
}

} // namespace camphorhitch::coordinator
