/// \file
/// Divides the hosts among the pools when there are too few for all.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <map>
#include <string>
#include <vector>

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

/// What one pool has and wants, in hosts.
struct pool_claim
{
    std::string pool;
    int floor = 0;     ///< for its long-running tasks, their spread and its spare hosts; come first
    int wanted = 0;    ///< floor included
    int have = 0;      ///< up, or moving to the pool
    int takeable = 0;  ///< that may be taken from it now
    double stake = 0;  ///< core-seconds of waiting work that can still be in time
    int shrink_to = 0; ///< that it keeps although they are unneeded, unless another pool lacks them
};

/// Bounds on moves between pools that both lack hosts.
struct allocation_settings
{
    /// A host moves from a pool that is itself short only when the receiving pool is worse off by
    /// this margin after the move. max_min: absolute difference of the satisfied shares. marginal:
    /// relative difference of the benefits. 0.15 is above what one job changes in a pool of more
    /// than 7 hosts.
    double margin = 0.15;
    /// A host that arrived because of scarcity stays for at least this long: it was of no use to
    /// any pool for the 1.5 s of its move.
    core::millis payoff_time{3000};
};

/// Divides \p total hosts among the pools. The result changes the present distribution only as far
/// as the rule demands, so that equal claims lead to no further moves.
/// - in_order: only hosts that their pool does not want are moved, to the pools in the order of
///   their names.
/// - Other rules: floors first, the pool with the smallest satisfied share of its floor before the
///   others. Then the pool with the smallest satisfied share above the floor (max_min), or the one
///   with the largest stake for each host above the floor (marginal).
/// When there are enough hosts, each pool gets what it wants, as far as takeable permits; hosts
/// that nobody wants stay where they are.
/// \param total hosts of all pools; when it exceeds what the pools have, the others go to pools
/// that lack hosts
/// \return by pool, the number of hosts that it should have.
std::map<std::string, int> divide_hosts(const std::vector<pool_claim>& claims,
    int total,
    allocation_rule rule,
    const allocation_settings& settings);

} // namespace camphorhitch::coordinator
