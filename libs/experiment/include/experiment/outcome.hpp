/// \file
/// Results of an experiment: the measures of the arms, compared within blocks.
#pragma once

#include "core/names.hpp"
#include "experiment/experiment.hpp"

#include <string>
#include <vector>

namespace camphorhitch::experiment
{

/// A measure by which the arms are compared.
enum class measure
{
    buffer_cost,  ///< hosts kept empty as spare capacity, in host-hours for each 100 host-hours
    rollout_time, ///< hours for each wave
    moves         ///< moved hosts and jobs for each 100 host-hours
};

inline constexpr core::name_table<measure, 3> measure_names{{
    {measure::buffer_cost, "buffer_cost"},
    {measure::rollout_time, "rollout_time"},
    {measure::moves, "moves"},
}};

/// Result of the comparison of an arm with the first arm.
enum class verdict
{
    less, ///< less than the first arm; less is better for every measure
    more,
    no_difference_shown,
    too_few_blocks ///< not enough complete blocks for a verdict
};

inline constexpr core::name_table<verdict, 4> verdict_names{{
    {verdict::less, "less"},
    {verdict::more, "more"},
    {verdict::no_difference_shown, "no difference shown"},
    {verdict::too_few_blocks, "too few blocks"},
}};

/// A confidence interval.
struct interval
{
    double low = 0;
    double high = 0;
};

/// One measure of one arm, compared with the first arm.
struct comparison
{
    measure quantity = measure::buffer_cost;
    std::string arm;
    int blocks = 0;        ///< number of blocks with a value for both arms
    double mean = 0;       ///< mean of this arm over these blocks
    double first_mean = 0; ///< mean of the first arm over the same blocks
    double difference = 0; ///< mean of the differences within blocks
    interval student;      ///< confidence interval of the difference by Student's t
    interval bootstrap;    ///< confidence interval of the difference by resampling blocks
    verdict conclusion = verdict::too_few_blocks;
};

/// The results of an experiment.
struct outcome
{
    /// Confidence of each interval. It is raised so that the probability of any wrong verdict in
    /// the experiment is no higher than that of one interval at the overall confidence.
    double confidence = 0.95;
    std::vector<comparison> comparisons;
};

/// \return whether the measure was observed in the pool.
bool has_value(const experiment_pool& p, measure quantity);
/// \return the value of a measure in one pool, which must have been observed.
double value_of(const experiment_pool& p, measure quantity);

/// Compares the arms. The result depends on the document only: resampling uses the experiment's
/// seed.
outcome outcome_of(const experiment_document& d);

} // namespace camphorhitch::experiment
