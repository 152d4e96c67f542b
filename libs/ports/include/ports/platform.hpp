/// \file
/// Port to the platform: the lagging live list, reboots, and tasks on workers.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

enum class live_state
{
    live,
    leaving, ///< the platform is about to take the host away
    down
};

inline constexpr core::name_table<live_state, 3> live_state_names{{
    {live_state::live, "live"},
    {live_state::leaving, "leaving"},
    {live_state::down, "down"},
}};

struct live_host
{
    std::string id;
    live_state state = live_state::down;
    std::int64_t boot_count = 0; ///< grows with every boot
};

struct live_list
{
    bool known = false; ///< false: the list could not be read
    std::vector<live_host> hosts;
};

enum class platform_status
{
    ok,
    refused, ///< certainly not done
    unknown  ///< may have been done
};

/// A task as the platform runs it.
struct task_order
{
    std::string host;
    std::string task; ///< unique for ever; the worker starts a task name once only
    double processors = 0;
    double memory_gb = 0;
    int accelerators = 0;
    core::millis run_time{0};  ///< declared
    core::millis lease_ttl{0}; ///< the worker stops the task when its lease lapses
    bool resume = false;       ///< go on from the last checkpoint
    std::string checkpoint;    ///< name of the checkpoint to go on from
    std::string payload;       ///< what to run, opaque
};

enum class task_state
{
    running,
    finished,
    failed,
    stopped,
    lapsed
};

inline constexpr core::name_table<task_state, 5> task_state_names{{
    {task_state::running, "running"},
    {task_state::finished, "finished"},
    {task_state::failed, "failed"},
    {task_state::stopped, "stopped"},
    {task_state::lapsed, "lapsed"},
}};

struct task_report
{
    std::string host;
    std::string task;
    task_state state = task_state::running;
    double processors_used = 0; ///< measured, late
    double memory_gb_used = 0;  ///< measured, late
    std::string checkpoint;     ///< name of the newest checkpoint, or empty
    std::string detail;
};

struct task_reports
{
    bool known = false;
    std::vector<task_report> tasks;
};

enum class task_action
{
    renew,
    checkpoint,
    throttle,
    unthrottle,
    stop
};

inline constexpr core::name_table<task_action, 5> task_action_names{{
    {task_action::renew, "renew"},
    {task_action::checkpoint, "checkpoint"},
    {task_action::throttle, "throttle"},
    {task_action::unthrottle, "unthrottle"},
    {task_action::stop, "stop"},
}};

struct platform
{
    std::function<void(std::function<void(live_list)>)> read_live_list;
    /// \p command makes a repeat have its effect once.
    std::function<void(std::string host, std::string command, std::function<void(platform_status)>)>
        reboot;
    std::function<void(task_order, std::function<void(platform_status)>)> start_task;
    /// One call for many tasks of one host.
    std::function<void(std::string host,
        std::vector<std::string> tasks,
        task_action,
        std::function<void(platform_status)>)>
        act_on_tasks;
    std::function<void(std::string host, std::function<void(task_reports)>)> read_tasks;
};

} // namespace camphorhitch::ports
