/// \file
/// Names of the platform's states on the stand-ins' wire.
#pragma once

#include "core/names.hpp"
#include "ports/platform.hpp"

namespace camphorhitch::standin_support
{

inline constexpr core::name_table<ports::live_state, 3> live_state_names{{
    {ports::live_state::live, "live"},
    {ports::live_state::leaving, "leaving"},
    {ports::live_state::down, "down"},
}};

inline constexpr core::name_table<ports::task_state, 5> task_state_names{{
    {ports::task_state::running, "running"},
    {ports::task_state::finished, "finished"},
    {ports::task_state::failed, "failed"},
    {ports::task_state::stopped, "stopped"},
    {ports::task_state::lapsed, "lapsed"},
}};

inline constexpr core::name_table<ports::task_action, 5> task_action_names{{
    {ports::task_action::renew, "renew"},
    {ports::task_action::checkpoint, "checkpoint"},
    {ports::task_action::throttle, "throttle"},
    {ports::task_action::unthrottle, "unthrottle"},
    {ports::task_action::stop, "stop"},
}};

} // namespace camphorhitch::standin_support
