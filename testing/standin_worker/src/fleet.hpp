/// \file
/// Simulated workers: hosts that run tasks under leases, reboot and fail. Callers pass the time.
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

/// A point in time: monotonic time of the simulation, and wall time for records.
struct moment
{
    core::mono_time now;
    std::int64_t unix_ms = 0;
};

/// The actual behaviour of a task, which may differ from its declaration.
struct actual_behaviour
{
    core::millis run_time{0};
    double processors = 0;
    double memory_gb = 0;
    std::optional<core::millis> fails_after; ///< progress at which the task fails
    bool kills_host = false;                 ///< whether the task takes down its host at the start
};

/// One task on a host.
struct task
{
    ports::task_order order;
    actual_behaviour actual;
    ports::task_state state = ports::task_state::running;
    core::mono_time started;
    core::mono_time lease_until;
    core::micros progress{0};
    bool throttled = false;
    int checkpoints = 0;
    std::string checkpoint; ///< name of the newest checkpoint
    std::string detail;     ///< reason of the end
    std::size_t record = 0; ///< index of the task's start record
};

/// One simulated host.
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
    std::optional<core::mono_time> back_at; ///< end of the reboot in progress
    std::set<std::string> commands;         ///< reboot commands that were executed
    std::map<std::string, task> tasks;      ///< tasks started since the last boot
    bool fails_all_tasks = false;           ///< whether each task fails at its start
    bool never_returns = false;             ///< whether the host stays down after a reboot
    bool unreachable = false;               ///< calls are not answered; tasks continue to run
};

/// Record of one start of a task. Records are never removed; the promise checker reads them.
struct start_record
{
    std::string task;
    std::string host;
    std::string payload;
    std::int64_t started_ms = 0; ///< milliseconds since 1970
    std::int64_t ended_ms = 0;   ///< 0: still running
    std::string end;             ///< state at the end, or "lost" if the host went down
};

/// A host's change of state, to be sent to the live list and the targets.
struct notice
{
    std::string host;
    ports::live_state state = ports::live_state::live;
    std::int64_t boot_count = 0;
    bool planned = false; ///< whether a command or a return caused the change, not a failure
};

/// Settings of the simulation.
struct behaviour
{
    core::millis reboot{2000};    ///< duration of a reboot
    core::millis usage_lag{1000}; ///< time after its start in which a task reports no usage
    double run_factor = 1;        ///< actual run time in declared run times
    double usage_factor = 1;      ///< actual usage in declared usage
    /// Bound s of a random factor of the run time, from 1/s to s, which depends on the task's name.
    double run_spread = 1;
    double usage_spread = 1;      ///< the same bound for the usage
    double throttled_rate = 0.25; ///< speed of a throttled task, as a share of full speed
    std::uint64_t seed = 1;
};

/// All hosts, tasks and records.
struct fleet
{
    std::map<std::string, host> hosts;
    std::map<std::string, std::string> started;      ///< host of every task that was ever started
    std::map<std::string, core::micros> checkpoints; ///< progress by name of the checkpoint
    std::vector<start_record> records;
    std::vector<notice> notices; ///< not sent yet; the service removes and sends them
    behaviour settings;
    core::mono_time advanced; ///< time of the last advance()
};

/// Result of a command.
enum class verdict
{
    done,
    repeated, ///< the command was executed before
    no_host,
    host_down,
    refused
};

/// Answer to a command.
struct answer
{
    verdict result = verdict::done;
    std::string text; ///< reason of a refusal
};

/// Reboots a host. A command that was executed before has no effect.
answer reboot(fleet& f, const std::string& id, const std::string& command, moment at);

/// Takes the host down at once; its tasks are lost.
void fail_host(fleet& f, host& h, moment at);

/// Brings up a host that is down.
void return_host(fleet& f, host& h);

/// Marks a live host as leaving, or removes the mark.
void set_leaving(fleet& f, host& h, bool leaving);

/// Starts a task. A task name is started only once.
answer start(fleet& f, const ports::task_order& order, moment at);

/// Answer to an action on several tasks.
struct action_answer
{
    answer order_answer;
    std::vector<std::string> done;
    std::vector<std::string> missing; ///< tasks that are not running on the host
};

/// Applies an action to tasks of a host.
action_answer apply_action(fleet& f,
    const std::string& id,
    const std::vector<std::string>& tasks,
    ports::task_action action,
    moment at);

/// \return the reports of a host's tasks.
std::vector<ports::task_report> reports(const fleet& f, const host& h, core::mono_time now);

/// Advances the simulation to \p at: tasks progress, end, fail, or are stopped when their lease
/// expires; hosts come up after reboots.
void advance(fleet& f, moment at);

} // namespace camphorhitch::standin_worker
