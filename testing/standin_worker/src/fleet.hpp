/// \file
/// Simulated workers: hosts that run tasks under leases, reboot and fail. Time is passed in.
#pragma once

#include "core/time.hpp"
#include "ports/platform.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::standin_worker
{

/// A moment, on the clock of the simulation and on the wall for records.
struct moment
{
    core::mono_time now;
    std::int64_t unix_ms = 0;
};

/// What a task does in truth, whatever was declared.
struct true_nature
{
    core::millis run_time{0};
    double processors = 0;
    double memory_gb = 0;
    std::optional<core::millis> fails_after; ///< of its run time
    bool kills_host = false;
};

struct task
{
    ports::task_order order;
    true_nature truth;
    ports::task_state state = ports::task_state::running;
    core::mono_time started;
    core::mono_time lease_until;
    core::micros progress{0};
    bool throttled = false;
    int checkpoints = 0;
    std::string checkpoint; ///< name of the newest
    std::string detail;
    std::size_t record = 0; ///< index of its start in the records
};

struct host
{
    std::string id;
    std::string zone;
    std::string rack;
    double processors = 32;
    double memory_gb = 128;
    int accelerators = 0;
    ports::live_state state = ports::live_state::live;
    std::int64_t boot_count = 1;
    std::optional<core::mono_time> back_at; ///< of a reboot under way
    std::set<std::string> commands;         ///< reboot commands that had their effect
    std::map<std::string, task> tasks;      ///< since the last boot
    bool fails_all_tasks = false;
    bool never_returns = false; ///< from a reboot
    bool unreachable = false;   ///< calls get no answer; what runs goes on
};

/// One start of a task, kept for ever, for a checker.
struct start_record
{
    std::string task;
    std::string host;
    std::string payload;
    std::int64_t started_ms = 0; ///< milliseconds since 1970
    std::int64_t ended_ms = 0;   ///< 0: still running
    std::string end;             ///< state at its end, or "lost" with its host
};

/// A host's change of state, for the live list and the targets.
struct notice
{
    std::string host;
    ports::live_state state = ports::live_state::live;
    std::int64_t boot_count = 0;
    bool planned = false;
};

struct behaviour
{
    core::millis reboot{2000};
    core::millis usage_lag{1000};
    double run_factor = 1;   ///< true run time over the declared one
    double usage_factor = 1; ///< true usage over the declared one
    double run_spread = 1;   ///< times a factor from 1/spread to spread, drawn by the task's name
    double usage_spread = 1;
    double throttled_rate = 0.25;
    std::uint64_t seed = 1;
};

struct fleet
{
    std::map<std::string, host> hosts;
    std::map<std::string, std::string> started;      ///< host of each task that was ever started
    std::map<std::string, core::micros> checkpoints; ///< progress by checkpoint's name
    std::vector<start_record> records;
    std::vector<notice> notices; ///< taken by the owner
    behaviour how;
    core::mono_time advanced;
};

enum class verdict
{
    done,
    repeated, ///< it had its effect before
    no_host,
    host_down,
    refused
};

struct answer
{
    verdict how = verdict::done;
    std::string text;
};

answer reboot(fleet& f, const std::string& id, const std::string& command, moment at);

/// Takes the host down at once; its tasks are lost.
void fail_host(fleet& f, host& h, moment at);

/// Brings a host back that is down.
void return_host(fleet& f, host& h);

/// Marks a live host as about to be taken away, or takes the mark back.
void set_leaving(fleet& f, host& h, bool leaving);

answer start(fleet& f, const ports::task_order& order, moment at);

struct action_answer
{
    answer how;
    std::vector<std::string> done;
    std::vector<std::string> missing; ///< not running here
};

action_answer act(fleet& f,
    const std::string& id,
    const std::vector<std::string>& tasks,
    ports::task_action action,
    moment at);

std::vector<ports::task_report> reports(const fleet& f, const host& h, core::mono_time now);

/// Lets time pass: tasks progress, finish, fail and lapse; hosts come back.
void advance(fleet& f, moment at);

} // namespace camphorhitch::standin_worker
