#include "experiment/outcome.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace camphorhitch::experiment
{

namespace
{

constexpr int fewest_blocks = 3;
constexpr int resamples = 4000;
constexpr double whole_confidence = 0.95;
constexpr double per_hundred = 100.0;

using accumulator = boost::accumulators::accumulator_set<double,
    boost::accumulators::stats<boost::accumulators::tag::count,
        boost::accumulators::tag::mean,
        boost::accumulators::tag::variance>>;

struct block_values
{
    double first = 0;
    double other = 0;
};

/// The blocks in which both arms have a value.
std::vector<block_values> blocks_of(
    const experiment_document& d, const std::string& other, measure what)
{
    std::map<int, std::map<std::string, double>> by_block;
    for (const auto& it : d.pools)
    {
        if (!it.withdrawn && has_value(it, what))
        {
            by_block[it.block][it.arm] = value_of(it, what);
        }
    }
    std::vector<block_values> blocks;
    for (const auto& it : by_block)
    {
        const auto first = it.second.find(d.arms.front().name);
        const auto second = it.second.find(other);
        if (first != it.second.end() && second != it.second.end())
        {
            blocks.push_back({first->second, second->second});
        }
    }
    return blocks;
}

interval student_interval(const accumulator& differences, double confidence)
{
    const auto n = static_cast<double>(boost::accumulators::count(differences));
    const double mean = boost::accumulators::mean(differences);
    // The library's variance divides by n.
    const double variance = boost::accumulators::variance(differences) * n / (n - 1);
    const boost::math::students_t t{n - 1};
    const double reach =
        boost::math::quantile(t, 1 - (1 - confidence) / 2) * std::sqrt(variance / n);
    return {mean - reach, mean + reach};
}

interval bootstrap_interval(
    const std::vector<double>& differences, double confidence, std::uint64_t seed)
{
    boost::random::mt19937_64 random{seed};
    boost::random::uniform_int_distribution<std::size_t> pick{0, differences.size() - 1};
    std::vector<double> means(resamples);
    for (auto& it : means)
    {
        double sum = 0;
        for (std::size_t i = 0; i < differences.size(); ++i)
        {
            sum += differences[pick(random)];
        }
        it = sum / static_cast<double>(differences.size());
    }
    std::sort(means.begin(), means.end());
    const double tail = (1 - confidence) / 2;
    const auto at = [&](double share)
    {
        return means[static_cast<std::size_t>(share * (resamples - 1))];
    };
    return {at(tail), at(1 - tail)};
}

bool is_below(const interval& it)
{
    return it.high < 0;
}

bool is_above(const interval& it)
{
    return it.low > 0;
}

/// With few blocks resampling gives intervals that are too narrow, and Student's assume too much
/// about the tails: a difference is shown when both show it.
verdict verdict_of(const comparison& c)
{
    if (is_below(c.student) && is_below(c.bootstrap))
    {
        return verdict::less;
    }
    if (is_above(c.student) && is_above(c.bootstrap))
    {
        return verdict::more;
    }
    return verdict::no_difference_shown;
}

comparison compare(
    const experiment_document& d, const std::string& other, measure what, double confidence)
{
    comparison c;
    c.what = what;
    c.arm = other;
    const std::vector<block_values> blocks = blocks_of(d, other, what);
    c.blocks = static_cast<int>(blocks.size());
    accumulator first;
    accumulator second;
    accumulator difference;
    std::vector<double> differences;
    for (const auto& it : blocks)
    {
        first(it.first);
        second(it.other);
        difference(it.other - it.first);
        differences.push_back(it.other - it.first);
    }
    if (c.blocks == 0)
    {
        return c;
    }
    c.first_mean = boost::accumulators::mean(first);
    c.mean = boost::accumulators::mean(second);
    c.difference = boost::accumulators::mean(difference);
    if (c.blocks < fewest_blocks)
    {
        return c;
    }
    c.student = student_interval(difference, confidence);
    c.bootstrap = bootstrap_interval(differences, confidence, d.seed);
    c.found = verdict_of(c);
    return c;
}

} // namespace

bool has_value(const pool_record& p, measure what)
{
    return what == measure::rollout_time ? p.sum.rollouts > 0 : p.sum.host_hours > 0;
}

double value_of(const pool_record& p, measure what)
{
    switch (what)
    {
    case measure::buffer_cost:
        return p.sum.buffer_host_hours / p.sum.host_hours * per_hundred;
    case measure::rollout_time:
        return p.sum.rollout_hours / p.sum.rollouts;
    case measure::moves:
        return static_cast<double>(p.sum.host_moves + p.sum.job_moves) / p.sum.host_hours *
               per_hundred;
    }
    return 0;
}

outcome outcome_of(const experiment_document& d)
{
    outcome made;
    if (d.arms.size() < 2)
    {
        return made;
    }
    const auto verdicts = static_cast<double>((d.arms.size() - 1) * measure_names.size());
    made.confidence = 1 - (1 - whole_confidence) / verdicts;
    for (std::size_t i = 1; i < d.arms.size(); ++i)
    {
        for (const auto& it : measure_names)
        {
            made.comparisons.push_back(compare(d, d.arms[i].name, it.value, made.confidence));
        }
    }
    return made;
}

} // namespace camphorhitch::experiment
