#include "jobs/estimator.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::jobs
{

namespace
{

constexpr std::size_t most_samples = 64;

/// A group with few samples is believed to be as declared: so many samples of 1 are mixed in.
constexpr std::size_t samples_of_trust = 4;

/// Ratios outside are taken for errors of the measurement.
constexpr double smallest_ratio = 0.1;
constexpr double largest_ratio = 4.0;

void add(ratio_samples& s, double real, double declared)
{
    if (real <= 0 || declared <= 0)
    {
        return;
    }
    const double ratio = std::clamp(real / declared, smallest_ratio, largest_ratio);
    if (s.values.size() < most_samples)
    {
        s.values.push_back(ratio);
        return;
    }
    s.values[s.next] = ratio;
    s.next = (s.next + 1) % most_samples;
}

double quantile(const ratio_samples& s, double q)
{
    std::vector<double> all = s.values;
    const std::size_t trust = samples_of_trust > all.size() ? samples_of_trust : std::size_t{0};
    all.insert(all.end(), trust, 1.0);
    const auto last = static_cast<double>(all.size() - 1);
    const auto n = static_cast<std::ptrdiff_t>(std::ceil(q * last));
    std::nth_element(all.begin(), all.begin() + n, all.end());
    return all[static_cast<std::size_t>(n)];
}

} // namespace

void learn(estimator& e, const job& j)
{
    group_samples& g = e.groups[group_of(j)];
    add(g.processors, j.used.processors, j.declared.processors);
    add(g.memory, j.used.memory_gb, j.declared.memory_gb);
    if (j.state == job_state::finished)
    {
        add(g.run_time,
            static_cast<double>(j.ran.count()),
            static_cast<double>(j.run_time.count()));
    }
}

correction correction_of(const estimator& e, const std::string& group, const settings& rules)
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

estimate corrected(const job& j, const correction& by)
{
    const auto run_time = static_cast<double>(j.run_time.count()) * by.run_time;
    return {{j.declared.processors * by.processors,
                j.declared.memory_gb * by.memory,
                j.declared.accelerators},
        core::millis{static_cast<std::int64_t>(run_time)}};
}

estimate estimate_of(const estimator& e, const job& j, const settings& rules)
{
    return corrected(j, correction_of(e, group_of(j), rules));
}

} // namespace camphorhitch::jobs
