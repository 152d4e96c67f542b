/// \file
/// Count, sum, maximum and estimated quantiles of observations, in constant memory.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum_kahan.hpp>

#include <array>
#include <cstddef>
#include <vector>

namespace camphorhitch::telemetry
{

/// The quantiles that every summary estimates.
inline constexpr std::array<double, 4> summary_quantiles{0.5, 0.9, 0.99, 0.999};

/// Statistics of a series of observations.
class summary
{
public:
    summary();

    void add(double v);

    std::size_t count() const;
    double sum() const;
    double maximum() const;

    /// \return the estimates of summary_quantiles, in order.
    std::array<double, summary_quantiles.size()> quantiles() const;

private:
    using statistics = boost::accumulators::stats<boost::accumulators::tag::count,
        boost::accumulators::tag::sum_kahan,
        boost::accumulators::tag::max,
        boost::accumulators::tag::extended_p_square>;

    boost::accumulators::accumulator_set<double, statistics> all_;
    std::vector<double> early_samples_; ///< all samples, while there are too few for an estimate
};

} // namespace camphorhitch::telemetry
