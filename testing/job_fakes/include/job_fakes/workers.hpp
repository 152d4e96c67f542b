/// \file
/// Workers on virtual time. They record all starts, so that a test can find a second start of a
/// job.
#pragma once

#include "core/time.hpp"
#include "jobs/job.hpp"
#include "ports/platform.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::job_fakes
{

/// The actual behaviour of a task, which may differ from its declared sizes.
struct real_task
{
    jobs::resources size;
    core::millis run_time{0};
    core::millis checkpoint_time{300};
    bool fails = false; ///< whether the task fails at its start on every worker
};

/// One task on a worker.
struct worker_task
{
    ports::task_order order;
    real_task real;
    ports::task_state state = ports::task_state::running;
    core::mono_time started{};
    core::mono_time lease_until{};
    core::mono_time ended{};
    double done_ms = 0;       ///< part of the run time that is done
    double checkpoint_ms = 0; ///< progress saved in the newest checkpoint
    std::string checkpoint;
    core::mono_time checkpoint_at{}; ///< completion time of the checkpoint being written; 0: none
    bool throttled = false;
    bool slowed = false; ///< whether the task was ever slowed by a shortage of processors
    std::string detail;
    double mean_processors = 0;
    double peak_memory = 0;
};

/// One worker host.
struct worker
{
    std::string id;
    jobs::resources capacity;
    bool fails_all = false; ///< whether every task fails at its start
    bool reachable = true;
    core::mono_time paused_until{}; ///< no lease expires until then, while tasks continue to run
    std::map<std::string, worker_task> tasks;
    /// Names of the tasks started since the last reboot; a name is started only once.
    std::set<std::string> started_names;
};

/// Record of one start; it is never removed.
struct start_record
{
    std::string job;
    std::string task;
    std::string host;
    bool resumed = false;
};

/// All workers of a simulation.
struct workers
{
    std::map<std::string, worker> all;                            ///< by host
    std::function<real_task(const ports::task_order&)> behaviour; ///< called at each start
    core::millis usage_lag{10000};   ///< time after its start in which a task reports no usage
    core::millis keep_ended{600000}; ///< time for which reports include a task that has ended
    double throttled_share = 0.1;    ///< speed of a throttled task, as a share of full speed
    std::vector<start_record> starts;
    std::int64_t out_of_memory = 0; ///< tasks killed because their host's memory was used up
    std::int64_t wasted_starts = 0; ///< starts on workers that fail all tasks
};

/// Starts a task. A name that the worker has started before has no effect.
/// \return unknown if the worker is not reachable.
ports::platform_status start(workers& w, const ports::task_order& order, core::mono_time now);
/// Applies an action to tasks of one host; tasks that do not run are skipped.
/// \return unknown if the worker is not reachable.
ports::platform_status apply_action(workers& w,
    const std::string& host,
    const std::vector<std::string>& tasks,
    ports::task_action what,
    core::mono_time now);
/// \return the reports of a host's tasks; not known if the worker is not reachable.
ports::task_reports read_tasks(const workers& w, const std::string& host, core::mono_time now);

/// Advances the tasks of all workers by \p step, which ends at \p now.
void advance(workers& w, core::mono_time now, core::millis step);

/// Removes all tasks of the worker and its record of started names.
void reboot(worker& w);

/// \return the resources that a task uses at this point of its run. Memory use grows to its full
/// size early in the run.
jobs::resources current_use(const worker_task& t);

} // namespace camphorhitch::job_fakes
