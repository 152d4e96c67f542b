/// \file
/// Creation of the simulated hosts, from a file or from a count.
#pragma once

#include "core/findings.hpp"
#include "fleet.hpp"

#include <variant>

namespace camphorhitch::standin_worker
{

/// Number and arrangement of generated hosts.
struct layout
{
    std::size_t count = 1;
    std::string prefix = "h";  ///< hosts are <prefix>1, <prefix>2, ...
    std::size_t zones = 1;     ///< zones are a, b, c, ...
    std::size_t rack_size = 4; ///< hosts per rack
    int accelerators = 0;      ///< accelerators of each host
};

/// \return hosts in racks of consecutive numbers; the racks are assigned to the zones in turn.
std::vector<host> make_hosts(const layout& arrangement);

/// \return the hosts of a JSON text, or the findings.
/// \param text {"hosts": [{"id", "zone", "rack", "processors", "memory_gb", "accelerators"}]}
std::variant<std::vector<host>, core::findings> parse_hosts(const std::string& text);

} // namespace camphorhitch::standin_worker
