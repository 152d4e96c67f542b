#include "coordinator/packing.hpp"

#include <algorithm>
#include <limits>

namespace camphorhitch::coordinator
{

namespace
{

/// Smallest and largest used share of the resources of a host.
struct share_range
{
    double smallest = std::numeric_limits<double>::max();
    double largest = 0;
};

void add_share(std::int64_t used, std::int64_t capacity, share_range& to)
{
    if (capacity > 0)
    {
        const double share = static_cast<double>(used) / static_cast<double>(capacity);
        to.smallest = std::min(to.smallest, share);
        to.largest = std::max(to.largest, share);
    }
}

share_range shares_after_start(const host_entry& h, const workflow::resources& need)
{
    share_range out;
    add_share(h.used.cpu + need.cpu, h.capacity.cpu, out);
    add_share(h.used.memory_mb + need.memory_mb, h.capacity.memory_mb, out);
    add_share(h.used.gpus + need.gpus, h.capacity.gpus, out);
    return out;
}

} // namespace

packing_cost cost_by_shares(
    const host_entry& h, const workflow::resources& need, bool fills_up, packing_rule rule)
{
    const auto shares = shares_after_start(h, need);
    if (!fills_up)
    {
        return {shares.largest, 0};
    }
    return rule == packing_rule::best_fit
               ? packing_cost{shares.largest - shares.smallest, -shares.largest}
               : packing_cost{-shares.largest, 0};
}

} // namespace camphorhitch::coordinator
