/// \file
/// Relays: nodes that deliver the coordinator's orders to runners.
#pragma once

#include <string>

namespace camphorhitch::ports
{

struct relay_endpoint
{
    std::string member;   ///< id of the node
    std::string address;  ///< "ip:port"
    std::string zone;     ///< its availability zone
    double cpu_share = 1; ///< share of a core that the node may use

    bool operator==(const relay_endpoint&) const = default;
};

} // namespace camphorhitch::ports
