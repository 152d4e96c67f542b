/// \file
/// Port to the machines of the fleet: their list, their moves between pools, their maintenance.
#pragma once

#include "core/names.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

enum class machine_state
{
    up,
    moving, ///< between pools
    in_maintenance,
    down
};

inline constexpr core::name_table<machine_state, 4> machine_state_names{{
    {machine_state::up, "up"},
    {machine_state::moving, "moving"},
    {machine_state::in_maintenance, "in_maintenance"},
    {machine_state::down, "down"},
}};

/// One machine, as the platform lists it.
struct machine_entry
{
    std::string id;
    std::string pool;
    std::string zone;
    std::string runner; ///< id of the runner's present incarnation; empty: none
    machine_state state = machine_state::down;
};

struct machine_list
{
    bool known = false; ///< false: the list could not be read completely
    std::vector<machine_entry> machines;
};

/// How an order to move or maintain a machine ended.
enum class machine_verdict
{
    done,       ///< the order was carried out, now or by an earlier call
    fenced,     ///< the platform has accepted an order with a higher fencing token
    busy,       ///< the machine is not up, or is about to leave
    other_wave, ///< the machine is not part of that wave
    refused,    ///< the order was certainly not carried out
    unknown     ///< the order may have been carried out
};

inline constexpr core::name_table<machine_verdict, 6> machine_verdict_names{{
    {machine_verdict::done, "done"},
    {machine_verdict::fenced, "fenced"},
    {machine_verdict::busy, "busy"},
    {machine_verdict::other_wave, "other_wave"},
    {machine_verdict::refused, "refused"},
    {machine_verdict::unknown, "unknown"},
}};

struct machines
{
    std::function<void(std::function<void(machine_list)>)> list;
    /// Moves a machine to another pool. Its runner ends with the move.
    std::function<void(std::string machine,
        std::string pool,
        std::int64_t fencing_token,
        std::function<void(machine_verdict)>)>
        move;
    /// Begins the maintenance of a machine as part of a wave.
    std::function<void(std::string machine,
        std::int64_t wave,
        std::int64_t fencing_token,
        std::function<void(machine_verdict)>)>
        maintain;
};

} // namespace camphorhitch::ports
