#include "summary.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::telemetry
{

namespace acc = boost::accumulators;

namespace
{

/// The P-square algorithm has two markers for each quantile and three more. Until it has processed
/// that number of samples, its markers are just the samples in order of arrival, and its estimates
/// are meaningless.
constexpr std::size_t marker_count = 2 * summary_quantiles.size() + 3;

double exact_quantile(const std::vector<double>& sorted, double share)
{
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

} // namespace

summary::summary() : all_(acc::tag::extended_p_square::probabilities = summary_quantiles)
{
}

void summary::add(double v)
{
    all_(v);
    if (count() <= marker_count)
    {
        early_samples_.push_back(v);
    }
    else
    {
        early_samples_ = {};
    }
}

std::size_t summary::count() const
{
    return acc::count(all_);
}

double summary::sum() const
{
    return acc::sum_kahan(all_);
}

double summary::maximum() const
{
    return acc::max(all_);
}

std::array<double, summary_quantiles.size()> summary::quantiles() const
{
    std::array<double, summary_quantiles.size()> out{};
    std::vector<double> sorted = early_samples_;
    std::sort(sorted.begin(), sorted.end());
    const auto estimates = acc::extended_p_square(all_);
    for (std::size_t i = 0; i < out.size(); ++i)
    {
        out[i] = sorted.empty() ? estimates[static_cast<std::ptrdiff_t>(i)]
                                : exact_quantile(sorted, summary_quantiles[i]);
    }
    return out;
}

} // namespace camphorhitch::telemetry
