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

constexpr double smallest_factor = 0.3;
constexpr double largest_factor = 3.0;

/// Share of the error's range, as a power, that a job has beside its kind.
constexpr double own_error = 0.25;

constexpr double plenty = 1e9;

struct size_share
{
    double processors;
    double up_to; ///< share of jobs of this size or smaller
};

constexpr std::array<size_share, 6> sizes{
    {{1, 0.3}, {2, 0.55}, {4, 0.75}, {8, 0.9}, {16, 0.97}, {32, 1.0}}};

} // namespace

workload::workload(std::uint64_t seed, const workload_settings& how) : random_(seed), how_(how)
{
    for (int i = 0; i < how_.kinds; ++i)
    {
        kind_factors_.push_back(log_uniform(smallest_factor, largest_factor));
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
    made_ += 1;
    jobs::submission s;
    const int kind = static_cast<int>(uniform(0, how_.kinds));
    s.id = "job-" + std::to_string(made_);
    s.team = kind % 2 == 0 ? "lens" : "trips";
    s.kind = "kind-" + std::to_string(kind);
    const double share = uniform(0, 1);
    s.declared.processors = std::find_if(sizes.begin(),
        sizes.end(),
        [&](const size_share& it) {
            return share < it.up_to;
        })->processors;
    s.declared.memory_gb = std::round(s.declared.processors * uniform(2, 4));
    s.run_time = core::millis{
        static_cast<std::int64_t>(1000 * log_uniform(how_.shortest_s, how_.longest_s))};
    s.klass = how_.fixed_class ? jobs::job_class::normal : jobs::job_class::long_running;
    s.idempotent = true;
    s.payload = "run";

    const auto factor = [&]
    {
        if (how_.errors == error_model::none)
        {
            return 1.0;
        }
        if (how_.errors == error_model::by_job)
        {
            return log_uniform(smallest_factor, largest_factor);
        }
        const double own =
            log_uniform(std::pow(smallest_factor, own_error), std::pow(largest_factor, own_error));
        return std::clamp(
            kind_factors_[static_cast<std::size_t>(kind)] * own, smallest_factor, largest_factor);
    };
    job_fakes::real_task real;
    // A task can't use more than a whole host: a larger one runs on what there is.
    real.size.processors = std::min(32.0, s.declared.processors * factor());
    real.size.memory_gb = std::min(120.0, s.declared.memory_gb * factor());
    real.run_time =
        core::millis{static_cast<std::int64_t>(static_cast<double>(s.run_time.count()) * factor())};
    real.checkpoint_time = core::millis{static_cast<std::int64_t>(log_uniform(100, 2000))};
    real_[s.id] = real;
    return s;
}

job_fakes::real_task workload::real_of(const std::string& job) const
{
    return real_.at(job);
}

job_fakes::world make_world(int hosts, int zones, bool accelerators)
{
    job_fakes::world w;
    w.hosts.pool = "bench";
    for (int i = 0; i < hosts; ++i)
    {
        model::host_record h;
        h.id = "w" + std::to_string(i);
        h.zone = "z" + std::to_string(i % zones);
        h.rack = "r" + std::to_string(i / zones / 4);
        h.accelerators = accelerators && i % 5 == 0 ? 4 : 0;
        w.platform.all[h.id] = {
            h.id, {h.processors, h.memory_gb, h.accelerators}, false, true, {}, {}, {}};
        w.hosts.hosts.push_back(std::move(h));
    }
    w.teams = {{"lens", plenty, plenty, 1000000}, {"trips", plenty, plenty, 1000000}};
    return w;
}

jobs::resources capacity_of(const job_fakes::world& w)
{
    jobs::resources sum;
    for (const auto& it : w.platform.all)
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
