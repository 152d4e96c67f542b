/// \file
/// Port to the platform: the live list (which lags behind), reboots, and tasks on workers.
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
    leaving, ///< the platform is about to remove the host
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
    std::int64_t boot_count = 0; ///< increases with every boot
};

struct live_list
{
    bool known = false; ///< false: the list could not be read
    std::vector<live_host> hosts;
};

enum class platform_status
{
    ok,
    refused, ///< the command was certainly not carried out
    unknown  ///< the command may have been carried out
};

/// An order to start a task on a worker.
struct task_order
{
    std::string host;
    std::string task;          ///< never reused; the worker starts a task name at most once
    double processors = 0;     ///< required processor cores
    double memory_gb = 0;      ///< required memory in gigabytes
    int accelerators = 0;      ///< required accelerators
    core::millis run_time{0};  ///< declared run time
    core::millis lease_ttl{0}; ///< the worker stops the task when its lease expires
    bool resume = false;       ///< the task continues from a checkpoint
    std::string checkpoint;    ///< name of the checkpoint to resume from
    std::string payload;       ///< program and input of the task, opaque
};

enum class task_state
{
    running,
    finished,
    failed,
    stopped,
    lapsed ///< the lease expired, and the worker stopped the task
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
    double processors_used = 0; ///< measured; the measurement lags behind
    double memory_gb_used = 0;  ///< measured; the measurement lags behind
    std::string checkpoint;     ///< name of the newest checkpoint; empty: none
    std::string detail;         ///< for logs
};

struct task_reports
{
    bool known = false; ///< false: the tasks could not be read
    std::vector<task_report> tasks;
};

enum class task_action
{
    renew, ///< extend the lease
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
    /// \p command identifies the call: a repeat with the same text has no further effect.
    std::function<void(std::string host, std::string command, std::function<void(platform_status)>)>
        reboot;
    std::function<void(task_order, std::function<void(platform_status)>)> start_task;
    /// Applies one action to several tasks of a host.
    std::function<void(std::string host,
        std::vector<std::string> tasks,
        task_action,
        std::function<void(platform_status)>)>
        act_on_tasks;
    std::function<void(std::string host, std::function<void(task_reports)>)> read_tasks;
};

} // namespace camphorhitch::ports
