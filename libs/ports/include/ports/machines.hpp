/// \file
/// Port to the hosts of the fleet: which there are, moves between pools, maintenance.
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
    moving,
    in_maintenance,
    down
};

inline constexpr core::name_table<machine_state, 4> machine_state_names{{
    {machine_state::up, "up"},
    {machine_state::moving, "moving"},
    {machine_state::in_maintenance, "in_maintenance"},
    {machine_state::down, "down"},
}};

struct machine_entry
{
    std::string id;
    std::string pool;
    std::string zone;
    std::string runner; ///< id of its runner's present life
    machine_state state = machine_state::down;
};

struct machine_list
{
    bool known = false; ///< false: could not be read whole
    std::vector<machine_entry> machines;
};

enum class machine_verdict
{
    done,       ///< or was done before
    fenced,     ///< somebody with a higher fencing token has given orders since
    busy,       ///< the host is not up, or leaves
    other_wave, ///< the host is not part of that wave
    refused,    ///< certainly not done
    unknown     ///< may have been done
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
    std::function<void(std::string machine,
        std::string pool,
        std::int64_t fencing_token,
        std::function<void(machine_verdict)>)>
        move;
    std::function<void(std::string machine,
        std::int64_t wave,
        std::int64_t fencing_token,
        std::function<void(machine_verdict)>)>
        maintain;
};

} // namespace camphorhitch::ports
