/// \file
/// Wave policies: configuration data (model::policy_config) and one table row of free functions for
/// each kind of policy.
#pragma once

#include "model/config.hpp"
#include "model/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// The order in which a wave admits its hosts. Usable spare hosts always come first, because they
/// carry no work.
enum class wave_order
{
    zone_by_zone, ///< one availability zone after the other
    pool_by_pool, ///< one pool after the other, zone by zone inside it
    all_at_once   ///< any zone and pool with budget headroom, most remaining rounds first
};

/// Host counts of one pool that a policy decides by.
struct pool_counts
{
    int hosts = 0;          ///< own confirmed hosts, borrowed hosts not counted
    int budget = 0;         ///< model::availability_budget::absent
    int planned_absent = 0; ///< own hosts that are draining, drained or rebooting
    int failed = 0;         ///< own hosts that failed
    int admitted = 0;       ///< own hosts that active waves admitted, maintained hosts included
    int unfinished = 0;     ///< own hosts, not failed, that active waves have yet to maintain
};

/// Host counts of the part of one wave that is maintained under one policy.
struct wave_progress
{
    int hosts = 0;       ///< selected hosts that are in a pool
    int done = 0;        ///< hosts maintained
    int in_progress = 0; ///< hosts admitted and not maintained yet
    int spares = 0;      ///< hosts of spare pools that have not failed, lent hosts included
};

/// The functions of one kind of policy.
struct wave_policy
{
    model::policy_kind kind;
    wave_order order;
    /// \return the largest number of hosts in progress at once in the wave; the budgets apply too.
    int (*window)(const model::policy_config&, const wave_progress&);
    /// \return the largest number of a pool's own hosts with a planned absence at once; the budget
    /// applies too.
    int (*pool_limit)(const model::policy_config&, const pool_counts&);
    /// \return the number of borrowed hosts that the pool should have.
    int (*borrowed_hosts_wanted)(const model::policy_config&, const pool_counts&);
    /// \return the number of own hosts that the pool should hold empty as spare capacity.
    int (*held_hosts_wanted)(const model::policy_config&, const pool_counts&);
};

/// \return the functions of policies of the given kind.
const wave_policy& policy_of(model::policy_kind kind);

/// \return the size of the batch that a wave is in after \p done maintained hosts. The first batch
/// is the canary; each later batch is larger by the policy's growth factor.
int batch_after(const model::policy_config& p, int done);

/// \return the policy named \p override_name if the configuration has one, else the policy of
/// \p pool. A pool without a policy maintains one host at a time and holds no host as spare.
model::policy_config policy_in_force(
    const model::configuration& c, const std::string& pool, const std::string& override_name);

/// \return whether every host of the policy's canary batch has been maintained.
bool canary_passed(const model::policy_config& p, const wave_progress& w);

} // namespace camphorhitch::fleet
