/// \file
/// Workers on virtual time. They record what they started, so that a second start of a job is seen.
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

/// What a task really does, whatever was declared.
struct real_task
{
    jobs::resources size;
    core::millis run_time{0};
    core::millis checkpoint_time{300};
    bool fails = false; ///< at once, wherever it runs
};

struct worker_task
{
    ports::task_order order;
    real_task real;
    ports::task_state state = ports::task_state::running;
    core::mono_time started{};
    core::mono_time lease_until{};
    core::mono_time ended{};
    double done_ms = 0;       ///< of its run time
    double checkpoint_ms = 0; ///< progress that the newest checkpoint holds
    std::string checkpoint;
    core::mono_time checkpoint_at{}; ///< when the one being written is there; zero: none
    bool throttled = false;
    bool slowed = false; ///< processors were short for it
    std::string detail;
    double mean_processors = 0;
    double peak_memory = 0;
};

struct worker
{
    std::string id;
    jobs::resources capacity;
    bool fails_all = false;
    bool reachable = true;
    core::mono_time paused_until{}; ///< its own clock stands still until then; tasks run on
    std::map<std::string, worker_task> tasks;
    std::set<std::string> known_names; ///< it starts a task's name once only, until it reboots
};

/// One start, for ever.
struct start_record
{
    std::string job;
    std::string task;
    std::string host;
    bool resumed = false;
};

struct workers
{
    std::map<std::string, worker> all;
    std::function<real_task(const ports::task_order&)> behaviour;
    core::millis usage_lag{10000};
    core::millis keep_ended{600000}; ///< how long reports name a task that has ended
    double throttled_share = 0.1;
    std::vector<start_record> starts;
    std::int64_t out_of_memory = 0; ///< tasks killed because their host's memory was used up
    std::int64_t wasted_starts = 0; ///< on workers that fail everything
};

ports::platform_status start(workers& w, const ports::task_order& order, core::mono_time now);
ports::platform_status act(workers& w,
    const std::string& host,
    const std::vector<std::string>& tasks,
    ports::task_action what,
    core::mono_time now);
ports::task_reports read_tasks(const workers& w, const std::string& host, core::mono_time now);

/// Lets time pass on all workers.
void advance(workers& w, core::mono_time now, core::millis step);

/// Kills all its tasks; names are forgotten.
void reboot(worker& w);

/// What a task uses at this point of its run: memory grows to its full size early on.
jobs::resources use_of(const worker_task& t);

} // namespace camphorhitch::job_fakes
