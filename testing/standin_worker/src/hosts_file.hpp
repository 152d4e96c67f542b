/// \file
/// Where the simulated hosts come from: a file, or a count.
#pragma once

#include "core/findings.hpp"
#include "fleet.hpp"

#include <variant>

namespace camphorhitch::standin_worker
{

struct layout
{
    std::size_t count = 1;
    std::string prefix = "h"; ///< hosts are <prefix>1, <prefix>2, ...
    std::size_t zones = 1;    ///< named a, b, c, ...
    std::size_t rack_size = 4;
    int accelerators = 0; ///< of each host
};

/// Racks of neighbours, spread over the zones in turn.
std::vector<host> make_hosts(const layout& how);

/// \param text {"hosts": [{"id", "zone", "rack", "processors", "memory_gb", "accelerators"}]}
std::variant<std::vector<host>, core::findings> parse_hosts(const std::string& text);

} // namespace camphorhitch::standin_worker
