/// \file
/// What a wave writes when the hosts' state is cut into documents in one way or another.
#pragma once

#include "fleet_sim/store.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// One change of a pool during a wave, as the decisions made it.
struct pool_write
{
    std::int64_t at_ms = 0;
    std::string pool;
    std::set<std::string> zones; ///< of the hosts that changed
};

/// The zones of the hosts that differ between two documents of a pool.
std::set<std::string> changed_zones(
    const model::pool_document& before, const model::pool_document& after);

struct cut_cost
{
    std::string cut;
    int documents = 0;
    std::size_t largest_bytes = 0;
    std::int64_t writes = 0;
    double written_bytes = 0;
    std::int64_t same_second = 0; ///< writes of one document beside another in the same second
};

/// \param end the documents at the end of the wave, for their sizes.
/// \return the cost of one document for all, one a zone and one a pool.
std::vector<cut_cost> cost_of_cuts(
    const std::vector<fleet::pool_view>& end, const std::vector<pool_write>& log);

} // namespace camphorhitch::bench
