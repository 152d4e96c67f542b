/// \file
/// Nodes that carry orders to runners out for the coordinator.
#pragma once

#include <string>

namespace camphorhitch::ports
{

struct relay_place
{
    std::string member;
    std::string address; ///< "ip:port"
    std::string zone;
    double share = 1; ///< of a core, that the node may use

    bool operator==(const relay_place&) const = default;
};

} // namespace camphorhitch::ports
