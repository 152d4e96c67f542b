#include "workload.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace camphorhitch::bench
{

namespace
{

constexpr double min_factor = 0.3;
constexpr double max_factor = 3.0;

/// Exponent that narrows the range of the error factor for the part of a job's error that is
/// independent of its kind.
constexpr double job_error_share = 0.25;

constexpr double unlimited_quota = 1e9;

struct size_share
{
    double processors;
    double up_to; ///< share of jobs of this size or smaller
};

constexpr std::array<size_share, 6> sizes{
    {{1, 0.3}, {2, 0.55}, {4, 0.75}, {8, 0.9}, {16, 0.97}, {32, 1.0}}};

} // namespace

workload::workload(std::uint64_t seed, const workload_settings& settings)
    : random_(seed), settings_(settings)
{
    for (int i = 0; i < settings_.kinds; ++i)
    {
        kind_factors_.push_back(log_uniform(min_factor, max_factor));
    }
}

double workload::uniform(double low, double high)
{
    return boost::random::uniform_real_distribution<double>{low, high}(random_);
}

double workload::log_uniform(double low, double high)
{
    return std::exp(uniform(std::log(low), std::log(high)));
}

double workload::next_gap_s(double rate)
{
    return boost::random::exponential_distribution<double>{rate}(random_);
}

jobs::submission workload::next()
{
    job_count_ += 1;
    jobs::submission s;
    const int kind = static_cast<int>(uniform(0, settings_.kinds));
    s.id = "job-" + std::to_string(job_count_);
    s.team = kind % 2 == 0 ? "lens" : "trips";
    s.kind = "kind-" + std::to_string(kind);
    const double share = uniform(0, 1);
    s.declared.processors = std::find_if(sizes.begin(),
        sizes.end(),
        [&](const size_share& it) {
            return share < it.up_to;
        })->processors;
    s.declared.memory_gb = std::round(s.declared.processors * uniform(2, 4));
    s.run_time = core::millis{static_cast<std::int64_t>(
        1000 * log_uniform(settings_.min_run_time_s, settings_.max_run_time_s))};
    s.klass = settings_.fixed_class ? jobs::job_class::normal : jobs::job_class::long_running;
    s.idempotent = true;
    s.payload = "run";

    const auto factor = [&]
    {
        if (settings_.errors == error_model::none)
        {
            return 1.0;
        }
        if (settings_.errors == error_model::by_job)
        {
            return log_uniform(min_factor, max_factor);
        }
        const double own = log_uniform(
            std::pow(min_factor, job_error_share), std::pow(max_factor, job_error_share));
        return std::clamp(
            kind_factors_[static_cast<std::size_t>(kind)] * own, min_factor, max_factor);
    };
    job_fakes::real_task real;
    // A task uses a whole host at most.
    real.size.processors = std::min(32.0, s.declared.processors * factor());
    real.size.memory_gb = std::min(120.0, s.declared.memory_gb * factor());
    real.run_time =
        core::millis{static_cast<std::int64_t>(static_cast<double>(s.run_time.count()) * factor())};
    real.checkpoint_time = core::millis{static_cast<std::int64_t>(log_uniform(100, 2000))};
    real_[s.id] = real;
    return s;
}

job_fakes::real_task workload::real_task_of(const std::string& job) const
{
    return real_.at(job);
}

job_fakes::pool_environment make_environment(int hosts, int zones, bool accelerators)
{
    job_fakes::pool_environment env;
    env.hosts.pool = "bench";
    for (int i = 0; i < hosts; ++i)
    {
        model::host_record h;
        h.id = "w" + std::to_string(i);
        h.zone = "z" + std::to_string(i % zones);
        h.rack = "r" + std::to_string(i / zones / 4);
        h.accelerators = accelerators && i % 5 == 0 ? 4 : 0;
        env.platform.all[h.id] = {
            h.id, {h.processors, h.memory_gb, h.accelerators}, false, true, {}, {}, {}};
        env.hosts.hosts.push_back(std::move(h));
    }
    env.teams = {{"lens", unlimited_quota, unlimited_quota, 1000000},
        {"trips", unlimited_quota, unlimited_quota, 1000000}};
    return env;
}

jobs::resources capacity_of(const job_fakes::pool_environment& env)
{
    jobs::resources sum;
    for (const auto& it : env.platform.all)
    {
        sum = sum + it.second.capacity;
    }
    return sum;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values[static_cast<std::size_t>(n)];
}

} // namespace camphorhitch::bench
