#include "coordinator/arriving_capacity.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0; ///< thousandths of a core

double median_cores(const fleet& f)
{
    std::vector<std::int64_t> all;
    all.reserve(f.hosts.size());
    for (const auto& [id, h] : f.hosts)
    {
        all.push_back(h.capacity.cpu);
    }
    if (all.empty())
    {
        return 0;
    }
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    return static_cast<double>(*middle) / milli;
}

} // namespace

std::map<std::string, std::vector<capacity_step>> arriving_capacity(
    const fleet& f, const rebalancer& r, const demand_settings& s)
{
    std::map<std::string, std::vector<capacity_step>> out;
    if (r.moves.empty())
    {
        return out;
    }
    const double usual = median_cores(f);
    for (const auto& [machine, move] : r.moves)
    {
        if (!move.ordered)
        {
            continue;
        }
        const auto known = f.hosts.find(move.runner);
        const double cores = known == f.hosts.end()
                                 ? usual
                                 : static_cast<double>(known->second.capacity.cpu) / milli;
        out[move.to_pool].push_back({move.ordered_at + s.trend_lookahead, cores});
    }
    return out;
}

} // namespace camphorhitch::coordinator
