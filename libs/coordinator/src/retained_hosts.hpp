/// \file
/// Hosts that a pool keeps for a while after its need has fallen.
#pragma once

#include "balances.hpp"

namespace camphorhitch::coordinator
{

/// Releases the hosts that a pool has not needed for a while.
void release_retained_hosts(
    rebalancer& r, std::map<std::string, balance>& all, core::mono_time now);

} // namespace camphorhitch::coordinator
