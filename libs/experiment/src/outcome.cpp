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

constexpr int min_blocks = 3;
constexpr int resamples = 4000;
constexpr double overall_confidence = 0.95;
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

/// \return the blocks in which both arms have a value.
std::vector<block_values> blocks_of(
    const experiment_document& d, const std::string& other, measure quantity)
{
    std::map<int, std::map<std::string, double>> by_block;
    for (const auto& it : d.pools)
    {
        if (!it.withdrawn && has_value(it, quantity))
        {
            by_block[it.block][it.arm] = value_of(it, quantity);
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
    // The variance of the library divides by n.
    const double variance = boost::accumulators::variance(differences) * n / (n - 1);
    const boost::math::students_t t{n - 1};
    const double half_width =
        boost::math::quantile(t, 1 - (1 - confidence) / 2) * std::sqrt(variance / n);
    return {mean - half_width, mean + half_width};
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

/// With few blocks, resampling gives intervals that are too narrow, and Student's t assumes too
/// much about the tails. A difference is reported only when both intervals show it.
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
    const experiment_document& d, const std::string& other, measure quantity, double confidence)
{
    comparison c;
    c.quantity = quantity;
    c.arm = other;
    const std::vector<block_values> blocks = blocks_of(d, other, quantity);
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
    if (c.blocks < min_blocks)
    {
        return c;
    }
    c.student = student_interval(difference, confidence);
    c.bootstrap = bootstrap_interval(differences, confidence, d.seed);
    c.conclusion = verdict_of(c);
    return c;
}

} // namespace

bool has_value(const experiment_pool& p, measure quantity)
{
    return quantity == measure::rollout_time ? p.measured.rollouts > 0 : p.measured.host_hours > 0;
}

double value_of(const experiment_pool& p, measure quantity)
{
    switch (quantity)
    {
    case measure::buffer_cost:
        return p.measured.buffer_host_hours / p.measured.host_hours * per_hundred;
    case measure::rollout_time:
        return p.measured.rollout_hours / p.measured.rollouts;
    case measure::moves:
        return static_cast<double>(p.measured.host_moves + p.measured.job_moves) /
               p.measured.host_hours * per_hundred;
    }
    return 0;
}

outcome outcome_of(const experiment_document& d)
{
    outcome result;
    if (d.arms.size() < 2)
    {
        return result;
    }
    const auto verdicts = static_cast<double>((d.arms.size() - 1) * measure_names.size());
    result.confidence = 1 - (1 - overall_confidence) / verdicts;
    for (std::size_t i = 1; i < d.arms.size(); ++i)
    {
        for (const auto& it : measure_names)
        {
            result.comparisons.push_back(compare(d, d.arms[i].name, it.value, result.confidence));
        }
    }
    return result;
}

} // namespace camphorhitch::experiment
