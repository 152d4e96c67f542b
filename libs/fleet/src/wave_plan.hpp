/// \file
/// The current status of a wave's hosts, grouped by the policy that applies to them.
#pragma once

#include "fleet/policies.hpp"
#include "fleet/wave_decider.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::fleet
{

/// Status of one selected host in the wave.
enum class wave_host_status
{
    pending,     ///< fit and not maintained by this wave yet
    in_progress, ///< absent because of this wave
    unavailable, ///< under another plan or wave, borrowed, or in transit between two pools
    done,        ///< maintained by this wave
    failed,
    gone ///< in no pool
};

/// One selected host of a wave.
struct wave_host
{
    std::string id;
    std::string pool;
    std::string zone;
    std::string rack;
    wave_host_status status = wave_host_status::gone;
    int pool_rounds = 0; ///< remaining hosts of its pool divided by the pool's budget, rounded up
    int zone_rounds = 0; ///< remaining hosts of its zone of the pool divided by the zone's budget
    bool spare = false;  ///< pending host in a spare pool
    /// Failed while this wave had drained or rebooted it, or after this wave maintained it.
    bool failed_by_wave = false;
};

/// The selected hosts whose pools have the same policy. Each group has its own canary.
struct wave_group
{
    model::policy_config policy;
    std::vector<wave_host> hosts; ///< in the policy's order
    wave_progress progress;
    int failures = 0; ///< number of hosts with failed_by_wave
};

/// All selected hosts of a wave.
struct wave_plan
{
    std::map<std::string, wave_group> groups; ///< by the policy's name
    int failures = 0;                         ///< number of hosts with failed_by_wave
    wave_summary summary;
};

/// \return the plan of the wave whose document is \p in.own.
wave_plan make_wave_plan(const wave_inputs& in);

/// The document entry of a host. The pointers point into the pool documents.
struct host_location
{
    const model::host_record* host = nullptr;
    const std::string* pool = nullptr; ///< the pool that owns the host
    bool in_transit = false;           ///< released to the pool and not adopted there yet
};

/// \return host \p id with its status in \p w. Rounds and spare are not set.
wave_host locate(const std::string& id,
    const model::wave_document& w,
    const std::unordered_map<std::string, host_location>& owners);

/// \return the entry of each host that has the highest ownership number.
std::unordered_map<std::string, host_location> index_host_locations(
    const std::vector<pool_view>& pools);

} // namespace camphorhitch::fleet
