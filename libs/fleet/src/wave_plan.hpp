/// \file
/// A wave's hosts as they stand, sorted into the groups that one policy each manages.
#pragma once

#include "fleet/policies.hpp"
#include "fleet/wave_decider.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::fleet
{

/// How far one selected host is.
enum class turn
{
    untouched, ///< fit, its turn is still to come
    absent,    ///< away in this wave's turn
    busy,      ///< elsewhere: another plan, another wave, a guest, on its way between pools
    done,
    failed,
    gone ///< in no pool
};

struct wave_host
{
    std::string id;
    std::string pool;
    std::string zone;
    std::string rack;
    turn at = turn::gone;
    int pool_turns = 0;   ///< hosts to go in its pool over what the budget allows at once
    int zone_turns = 0;   ///< the same in its zone of the pool
    bool spare = false;   ///< fit and empty in a spare pool
    bool by_wave = false; ///< failed while this wave had it, or after
};

/// The hosts whose pools have the same policy. Each group has its own canary.
struct wave_group
{
    model::policy_config policy;
    std::vector<wave_host> hosts; ///< in the policy's order
    wave_progress progress;
    int failures = 0; ///< while this wave had them, or after
};

struct wave_plan
{
    std::map<std::string, wave_group> groups; ///< by the policy's name
    int failures = 0;
    wave_summary summary;
};

wave_plan plan_of(const wave_inputs& in);

/// Where a host stands. The pointers are into the documents.
struct host_place
{
    const model::host_record* host = nullptr;
    const std::string* pool = nullptr; ///< that owns it
    bool in_transit = false;           ///< released to the pool and not adopted there yet
};

/// \return how far \p id is in \p w.
wave_host locate(const std::string& id,
    const model::wave_document& w,
    const std::unordered_map<std::string, host_place>& owners);

/// \return the place of each host, by ownership numbers.
std::unordered_map<std::string, host_place> index_owners(const std::vector<pool_view>& pools);

} // namespace camphorhitch::fleet
