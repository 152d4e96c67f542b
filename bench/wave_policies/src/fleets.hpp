/// \file
/// The fleets on which waves are measured.
#pragma once

#include "fleet_sim/simulation.hpp"
#include "model/config.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// Size and budget of a pool.
struct pool_shape
{
    int hosts = 0;
    model::availability_budget budget;
};

/// Zones and pools of a fleet.
struct fleet_shape
{
    std::string name;
    int zones = 0;
    std::vector<pool_shape> pools;
};

/// A measured policy, and the spare hosts that the fleet keeps under it.
struct measured_policy
{
    std::string name;
    model::policy_config config;
    int spares = 0; ///< hosts in a separate spare pool, taken from the largest pools
};

/// Times of the platform and of the work, the same for all policies.
struct work_settings
{
    std::int64_t reboot_ms = 600000;
    std::int64_t repair_ms = 1800000; ///< time until a host that did not return is repaired
    std::int64_t max_request_ms = 10000;
    std::int64_t mean_job_ms = 7200000;
    int jobs_per_host = 3;
    std::uint64_t seed = 1;
};

/// \return the fleets of the two users and fleets of 10, 100 and 1,100 hosts.
std::vector<fleet_shape> all_fleets();

int count_hosts(const fleet_shape& shape);

/// \return the policies to measure on \p shape, the baseline first.
std::vector<measured_policy> all_policies(const fleet_shape& shape);

/// \return the pools with the spare hosts taken out of the largest ones.
std::vector<pool_shape> pools_beside_spares(const fleet_shape& shape, int spares);

/// Builds the fleet, with one member that owns all pools and waves, and adds work to its hosts.
void build(fleet_sim::simulation& sim,
    const fleet_shape& shape,
    const measured_policy& policy,
    const work_settings& work);

} // namespace camphorhitch::bench
