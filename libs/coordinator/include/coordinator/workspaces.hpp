/// \file
/// Workspaces: what each may have running over all pools, and its share of full pools.
///
/// A workspace's cap bounds the resources of all of its runs that may be active, including those
/// that this coordinator has not seen yet.
#pragma once

#include "core/time.hpp"
#include "workflow/model.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

struct fleet;
struct job_entry;

/// A workspace, as the operators configured it.
struct workspace_settings
{
    std::string name;
    int weight = 1; ///< jobs per second that are served before those beyond anybody's share
    workflow::resources cap;  ///< what its active runs may require together; 0: no limit
    bool cap_is_known = true; ///< false: the configured cap is invalid, and no task starts
};

/// How the jobs of workspaces share a pool without capacity for all.
enum class share_rule
{
    none,     ///< workspaces are not distinguished
    rate,     ///< jobs that a workspace sends beyond its weight per second come last
    dominant, ///< the workspace with the smallest dominant share per weight comes first
    work      ///< shares in resource-time over a window
};

/// What the coordinator knows about one workspace.
struct workspace_entry
{
    workspace_settings settings;
    workflow::resources used; ///< by all runs that are recorded, in any phase
    /// Required by runs of jobs that ended before this term and may still be active.
    workflow::resources held;
    /// Required by tasks that a previous coordinator may have started unseen.
    workflow::resources unseen;
    int capped_steps = 0; ///< steps whose tasks waited for the cap in the latest plan
    /// Acceptance of the jobs within its weight, over the latest second, in milliseconds since
    /// 1970.
    std::deque<std::int64_t> admitted_unix_ms;
};

/// State of the workspaces. Before the first configuration no task of a workspace starts.
struct workspace_table
{
    bool configured = false;
    std::map<std::string, workspace_entry> entries; ///< by name
    std::vector<std::string> unrated_jobs; ///< ids of jobs read before the first configuration
};

/// Puts the operators' settings into force. A workspace that is no longer listed keeps its settings
/// for the jobs that were accepted.
void set_workspaces(fleet& f, const std::vector<workspace_settings>& all);

/// Evaluates whether a job that was read is within its workspace's weight. To be called in the
/// order of acceptance.
void rate_job(fleet& f, job_entry& j);

/// Counts resources of runs that a previous coordinator ordered for a job that has ended.
void add_held_resources(fleet& f, const std::string& workspace, const workflow::resources& held);

/// Determines for each workspace what may be running unseen.
void update_unseen_use(fleet& f, core::mono_time now);

/// \return whether the workspace of the job may have \p tasks more tasks running that require
/// \p each. A task may exceed the cap if nothing else of its workspace runs, since it would wait
/// for ever otherwise.
bool fits_cap(
    const fleet& f, const job_entry& j, const workflow::resources& each, std::int64_t tasks = 1);

/// \return the processor capacity below the workspace's cap, in cores; infinite without a cap.
double cores_below_cap(const fleet& f, const std::string& workspace);

/// Counts a step whose tasks wait for the cap of their workspace.
void record_capped_step(fleet& f, const job_entry& j);

/// \return the largest share that the workspace uses of any resource of all hosts, divided by its
/// weight.
double weighted_dominant_share(const fleet& f, const std::string& workspace);

/// \return why the cap keeps tasks from starting, or an empty text.
std::string describe_cap(const fleet& f, const job_entry& j, const workflow::resources& each);

} // namespace camphorhitch::coordinator
