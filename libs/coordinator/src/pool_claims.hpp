/// \file
/// What each pool has and wants, as the input of divide_hosts.
#pragma once

#include "balances.hpp"

namespace camphorhitch::coordinator
{

/// \return whether the pools together want more hosts than there are.
bool is_scarce(const std::map<std::string, balance>& all);

/// \return the claim of each pool. Stakes are filled in for allocation_rule::marginal only, since
/// they cost a pass over all jobs; takeable hosts only while a pool lacks hosts.
std::vector<pool_claim> make_claims(
    fleet& f, const rebalancer& r, const demand& d, const std::map<std::string, balance>& all);

} // namespace camphorhitch::coordinator
