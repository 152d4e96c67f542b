/// \file
/// The writes of a wave under different divisions of the hosts' state into documents.
#pragma once

#include "fleet_sim/store.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// One change of a pool during a wave.
struct pool_write
{
    std::int64_t at_ms = 0;
    std::string pool;
    std::set<std::string> zones; ///< zones of the hosts that changed
};

/// \return the zones of the hosts that differ between two documents of a pool.
std::set<std::string> changed_zones(
    const model::pool_document& before, const model::pool_document& after);

/// Cost of one layout.
struct layout_cost
{
    std::string document_layout;
    int documents = 0;
    std::size_t largest_bytes = 0;
    std::int64_t writes = 0;
    double written_bytes = 0;
    /// Writes of a document that was already written in the same second.
    std::int64_t same_second = 0;
};

/// \param end the documents at the end of the wave, which give the sizes
/// \return the costs of one document for all hosts, one per zone and one per pool.
std::vector<layout_cost> measure_layouts(
    const std::vector<fleet::pool_view>& end, const std::vector<pool_write>& log);

} // namespace camphorhitch::bench
