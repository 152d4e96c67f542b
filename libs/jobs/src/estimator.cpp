#include "jobs/estimator.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::jobs
{

namespace
{

constexpr std::size_t max_samples = 64;

/// A group with fewer samples than this gets as many additional samples of ratio 1, so that its
/// jobs are estimated close to their declared sizes.
constexpr std::size_t min_trusted_samples = 4;

/// Ratios outside these bounds are treated as measurement errors.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 4.0;

void add(ratio_samples& s, double real, double declared)
{
    if (real <= 0 || declared <= 0)
    {
        return;
    }
    const double ratio = std::clamp(real / declared, min_ratio, max_ratio);
    if (s.values.size() < max_samples)
    {
        s.values.push_back(ratio);
        return;
    }
    s.values[s.next] = ratio;
    s.next = (s.next + 1) % max_samples;
}

double quantile(const ratio_samples& s, double q)
{
    std::vector<double> all = s.values;
    const std::size_t trust =
        min_trusted_samples > all.size() ? min_trusted_samples : std::size_t{0};
    all.insert(all.end(), trust, 1.0);
    const auto last = static_cast<double>(all.size() - 1);
    const auto n = static_cast<std::ptrdiff_t>(std::ceil(q * last));
    std::nth_element(all.begin(), all.begin() + n, all.end());
    return all[static_cast<std::size_t>(n)];
}

} // namespace

void record_measurements(estimator& e, const job& j)
{
    group_samples& g = e.groups[group_name(j)];
    add(g.processors, j.peak_use.processors, j.declared.processors);
    add(g.memory, j.peak_use.memory_gb, j.declared.memory_gb);
    if (j.state == job_state::finished)
    {
        add(g.run_time,
            static_cast<double>(j.measured_run_time.count()),
            static_cast<double>(j.run_time.count()));
    }
}

correction correction_for(const estimator& e, const std::string& group, const settings& rules)
{
    const auto it = e.groups.find(group);
    if (it == e.groups.end())
    {
        return {};
    }
    const group_samples& g = it->second;
    return {quantile(g.processors, rules.processors_quantile),
        quantile(g.memory, rules.memory_quantile),
        quantile(g.run_time, rules.time_quantile)};
}

estimate apply_correction(const job& j, const correction& by)
{
    const auto run_time = static_cast<double>(j.run_time.count()) * by.run_time;
    return {{j.declared.processors * by.processors,
                j.declared.memory_gb * by.memory,
                j.declared.accelerators},
        core::millis{static_cast<std::int64_t>(run_time)}};
}

estimate estimate_for(const estimator& e, const job& j, const settings& rules)
{
    return apply_correction(j, correction_for(e, group_name(j), rules));
}

} // namespace camphorhitch::jobs
