/// \file
/// Divides the hosts among the pools when there are too few for all.
#pragma once

#include "core/names.hpp"

namespace camphorhitch::coordinator
{

/// Which pool receives the next host when there are too few for all.
enum class allocation_rule
{
    in_order, ///< pools in the order of their names
    max_min,  ///< the pool with the smallest satisfied share of its need
    marginal  ///< the pool in which the host completes most work in time
};

inline constexpr core::name_table<allocation_rule, 3> allocation_rule_names{{
    {allocation_rule::in_order, "in_order"},
    {allocation_rule::max_min, "max_min"},
    {allocation_rule::marginal, "marginal"},
}};

} // namespace camphorhitch::coordinator
