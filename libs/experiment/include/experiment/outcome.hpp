/// \file
/// What an experiment shows: the arms' measures, compared block by block.
#pragma once

#include "core/names.hpp"
#include "experiment/experiment.hpp"

#include <string>
#include <vector>

namespace camphorhitch::experiment
{

enum class measure
{
    buffer_cost,  ///< host-hours held back for each 100 host-hours
    rollout_time, ///< hours for each wave
    moves         ///< hosts and jobs moved for each 100 host-hours
};

inline constexpr core::name_table<measure, 3> measure_names{{
    {measure::buffer_cost, "buffer_cost"},
    {measure::rollout_time, "rollout_time"},
    {measure::moves, "moves"},
}};

enum class verdict
{
    less, ///< than the first arm; less is better in every measure
    more,
    no_difference_shown,
    too_few_blocks ///< not enough whole blocks to say anything
};

inline constexpr core::name_table<verdict, 4> verdict_names{{
    {verdict::less, "less"},
    {verdict::more, "more"},
    {verdict::no_difference_shown, "no difference shown"},
    {verdict::too_few_blocks, "too few blocks"},
}};

struct interval
{
    double low = 0;
    double high = 0;
};

/// One measure of one arm, beside the first arm's.
struct comparison
{
    measure what = measure::buffer_cost;
    std::string arm;
    int blocks = 0;        ///< with a value for both arms
    double mean = 0;       ///< of this arm, over these blocks
    double first_mean = 0; ///< of the first arm, over the same blocks
    double difference = 0; ///< mean of the differences within blocks
    interval student;      ///< of the difference, by Student's t
    interval bootstrap;    ///< of the difference, by resampling blocks
    verdict found = verdict::too_few_blocks;
};

struct outcome
{
    /// Confidence of each interval: raised so that all of the experiment's verdicts together are
    /// wrong no more often than one interval alone would be.
    double confidence = 0.95;
    std::vector<comparison> comparisons;
};

/// \return the value of a measure in one pool, or nothing when it was not observed.
bool has_value(const pool_record& p, measure what);
double value_of(const pool_record& p, measure what);

/// The same for the same document in every run: resampling uses the experiment's seed.
outcome outcome_of(const experiment_document& d);

} // namespace camphorhitch::experiment
