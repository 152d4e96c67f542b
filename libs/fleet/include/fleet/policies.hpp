/// \file
/// Wave policies: data (model::policy_config) plus a row of free functions per kind.
#pragma once

#include "model/config.hpp"
#include "model/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// The order in which a wave takes its hosts; fit spare hosts always come first, being empty.
enum class wave_order
{
    zone_by_zone, ///< one availability zone after the other
    pool_by_pool, ///< one pool after the other, zone by zone inside it
    all_at_once   ///< any zone and pool that has room, those with most turns left first
};

/// What a policy weighs in one pool.
struct pool_need
{
    int hosts = 0;          ///< own members
    int budget = 0;         ///< model::availability_budget::absent
    int planned_absent = 0; ///< own hosts, draining, drained or rebooting
    int failed = 0;         ///< own hosts
    int admitted = 0;       ///< own hosts that active waves admitted, maintained ones among them
    int unfinished = 0;     ///< own hosts that active waves have yet to maintain, and not failed
};

/// What a policy weighs for the hosts that one wave maintains under it.
struct wave_progress
{
    int hosts = 0;       ///< selected and in some pool
    int done = 0;        ///< maintained
    int in_progress = 0; ///< admitted and not maintained yet
    int spares = 0;      ///< hosts of spare pools that are fit, lent ones among them
};

/// One kind of policy.
struct wave_policy
{
    model::policy_kind kind;
    wave_order order;
    /// \return most hosts in progress at once in the wave, beside what the budgets allow.
    int (*window)(const model::policy_config&, const wave_progress&);
    /// \return most own hosts of a pool away by plan at once, beside what the budget allows.
    int (*pool_limit)(const model::policy_config&, const pool_need&);
    /// \return guests that the pool should have.
    int (*guests_wanted)(const model::policy_config&, const pool_need&);
    /// \return own hosts that the pool should hold empty.
    int (*held_wanted)(const model::policy_config&, const pool_need&);
};

const wave_policy& policy_of(model::policy_kind kind);

/// \return the size of the batch that a wave is in after \p done hosts: canary, then growing.
int batch_after(const model::policy_config& p, int done);

/// \return the policy of \p pool, or \p override_name's where that is not empty. A pool without a
/// policy maintains one host at a time and holds nothing back.
model::policy_config policy_in_force(
    const model::configuration& c, const std::string& pool, const std::string& override_name);

/// \return whether the canary batch of the policy is through.
bool canary_passed(const model::policy_config& p, const wave_progress& w);

} // namespace camphorhitch::fleet
