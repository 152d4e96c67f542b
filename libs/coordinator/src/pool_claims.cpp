#include "pool_claims.hpp"

#include "coordinator/run_time_estimates.hpp"
#include "move_choice.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0; ///< thousandths of a core, milliseconds in a second

/// \return core-seconds of the batch tasks of one occurrence that are not done.
double remaining_work(const fleet& f, const job_entry& j, std::size_t occurrence)
{
    double out = 0;
    const auto steps = j.spec.steps.size();
    for (std::size_t i = 0; i < steps; ++i)
    {
        const auto& s = j.spec.steps[i];
        if (!s.long_running && !s.best_effort)
        {
            const auto open = s.tasks - j.steps[occurrence * steps + i].done;
            const auto time = expected_run_time(f.run_time_estimates, s).count();
            out +=
                static_cast<double>(s.need.cpu * open) / milli * static_cast<double>(time) / milli;
        }
    }
    return out;
}

/// \return core-seconds of the batch tasks of the job that are not done. Of a scheduled job, its
/// first occurrence with such tasks counts, since the later ones are not due yet.
double remaining_work(const fleet& f, const job_entry& j)
{
    for (std::size_t k = 0; k < j.steps.size() / j.spec.steps.size(); ++k)
    {
        const auto work = remaining_work(f, j, k);
        if (work > 0)
        {
            return work;
        }
    }
    return 0;
}

/// \return by pool, core-seconds of all batch work that is not done.
std::map<std::string, double> remaining_work(const fleet& f)
{
    std::map<std::string, double> out;
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        if (!workflow::is_final(j.state))
        {
            out[j.spec.pool] += remaining_work(f, j);
        }
    }
    return out;
}

/// Applies the completion forecasts: late work counts only with late_work_share. A pool without
/// usable hosts has no outlook, and all of its work counts.
void discount_late_work(const fleet& f, const demand_settings& s, std::map<std::string, double>& to)
{
    for (const auto& [pool, forecast] : f.forecasts)
    {
        if (!forecast.jobs.empty())
        {
            to[pool] =
                forecast.in_time_core_seconds + s.late_work_share * forecast.late_core_seconds;
        }
    }
}

/// Adds the stakes. Hosts that are wanted for work that has not arrived yet count with the work
/// that they do within the horizon, as far as it exceeds the work that is there.
void add_stakes(const fleet& f,
    const demand& d,
    const std::map<std::string, balance>& all,
    std::vector<pool_claim>& claims)
{
    auto work = remaining_work(f);
    if (f.settings.placement.forecasts)
    {
        discount_late_work(f, d.settings, work);
    }
    const double horizon = static_cast<double>(d.settings.horizon.count()) / milli;
    for (auto& it : claims)
    {
        it.stake = std::max(work[it.pool], all.at(it.pool).batch_cores * horizon);
    }
}

/// \return whether the hosts that pools retain above their need are given away.
bool gives_retained_hosts(const rebalancer& r, const std::map<std::string, balance>& all)
{
    return is_scarce(all) ||
           std::any_of(all.begin(),
               all.end(),
               [&](const auto& it)
               { return it.second.wanted - it.second.have >= r.settings.urgent_shortage; });
}

int count_cheap_hosts(const balance& b)
{
    const auto first = std::partition_point(
        b.free.begin(), b.free.end(), [](const free_host& it) { return !is_cheap(it.cost); });
    return static_cast<int>(b.free.end() - first);
}

} // namespace

bool is_scarce(const std::map<std::string, balance>& all)
{
    int missing = 0;
    for (const auto& [name, b] : all)
    {
        missing += b.wanted - b.have;
    }
    return missing > 0;
}

std::vector<pool_claim> make_claims(
    fleet& f, const rebalancer& r, const demand& d, const std::map<std::string, balance>& all)
{
    const bool any_short = std::any_of(
        all.begin(), all.end(), [](const auto& it) { return it.second.have < it.second.wanted; });
    const bool gives_retained = any_short && gives_retained_hosts(r, all);
    std::vector<pool_claim> out;
    for (const auto& [name, b] : all)
    {
        auto& it = out.emplace_back();
        it.pool = name;
        it.floor = b.floor;
        it.wanted = b.wanted;
        it.have = b.have;
        it.shrink_to = b.retained;
        const int spare = std::max(0, b.have - b.retained);
        it.takeable = any_short ? count_cheap_hosts(b) : 0;
        it.takeable = gives_retained ? it.takeable : std::min(it.takeable, spare);
    }
    if (any_short && r.settings.allocation == allocation_rule::marginal)
    {
        add_stakes(f, d, all, out);
    }
    return out;
}

} // namespace camphorhitch::coordinator
