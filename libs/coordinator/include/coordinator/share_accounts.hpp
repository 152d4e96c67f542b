/// \file
/// Accounts of what workspaces, queues and zones of callers have used, for share_rule::work.
///
/// Use is counted in core-seconds of the dominant resource: a task counts with the largest share
/// that it requires of any resource of all hosts in working pools, times the cores of these hosts.
/// Used amounts decay exponentially with share_settings::window, so in steady use an account
/// approaches the cores in use times the window.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"
#include "workflow/model.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::coordinator
{

struct fleet;
struct job_entry;
struct run_entry;
struct task_event;

/// What shares are given to. The numeric order is the order of precedence.
enum class share_level
{
    workspace,
    queue,
    zone ///< availability zone of the node that accepted the job
};

inline constexpr core::name_table<share_level, 3> share_level_names{{
    {share_level::workspace, "workspace"},
    {share_level::queue, "queue"},
    {share_level::zone, "zone"},
}};

inline constexpr std::size_t share_levels = share_level_names.size();

/// What one workspace, queue or zone has used.
struct share_account
{
    double used = 0; ///< core-seconds at updated_at, with the expected rest of active batch runs
    core::mono_time updated_at;
    std::int64_t long_running_cpu = 0; ///< in use by long-running tasks, in thousandths of a core
    double share = 0;      ///< core-seconds in the latest plan; 0: it neither used nor waited
    bool beyond = false;   ///< in the latest plan, \c used was above \c share
    bool reported = false; ///< share_exceeded was logged, and share_restored was not since then
};

/// Batch work of one workspace, queue or zone in one pool, in thousandths of a core.
struct pool_share_use
{
    std::int64_t running = 0;
    std::int64_t waiting = 0; ///< of jobs within their share that could start with free capacity
    int weight = 1;
};

/// Work in one pool, in thousandths of a core; from the latest plan, with its starts.
struct pool_share_state
{
    std::int64_t capacity = 0;
    std::int64_t long_running = 0;   ///< in use by long-running tasks
    std::int64_t free = 0;           ///< on hosts that accept tasks
    std::int64_t beyond_running = 0; ///< by batch tasks of jobs beyond their share
    std::int64_t within_waiting = 0; ///< as pool_share_use::waiting, of all jobs
    std::array<std::map<std::string, pool_share_use>, share_levels> uses; ///< by level and name
    std::array<std::int64_t, share_levels> weights{}; ///< by level: sum over its uses
};

/// All accounts, and the state of the latest plan. Empty unless share_rule::work is in force.
struct share_table
{
    std::array<std::map<std::string, share_account>, share_levels> accounts; ///< by level and name
    std::set<std::string> standby_pools; ///< their hosts are not counted as capacity
    workflow::resources capacity;        ///< of all hosts in working pools
    std::map<std::string, pool_share_state> pools;
};

/// One account as it is stored for a successor.
struct share_row
{
    share_level level = share_level::workspace;
    std::string name;
    double used = 0; ///< core-seconds

    bool operator==(const share_row&) const = default;
};

/// Charges a run that starts, or that is adopted, with its expected run time. To be called when the
/// run is added.
void charge_run(fleet& f, job_entry& j, const workflow::step& s, run_entry& run);

/// Corrects the charge of a run that has ended: afterwards its accounts contain its actual use.
void settle_run(
    fleet& f, job_entry& j, const workflow::step& s, const run_entry& run, core::mono_time now);

/// Evaluates all accounts at the begin of a plan and logs which are newly beyond their share, or
/// within it again. Does nothing unless share_rule::work is in force.
/// \param unix_ms wall time in milliseconds, for scheduled jobs
void update_shares(
    fleet& f, core::mono_time now, std::int64_t unix_ms, std::vector<task_event>& out);

/// \return the rank of the job: 0 when it is within its share at all levels, or when its first step
/// has run; otherwise the sum of 4 for its workspace, 2 for its queue and 1 for its zone, for those
/// that are beyond. Jobs with a lower rank are served first.
int work_share_rank(const fleet& f, const job_entry& j);

/// Decides whether \p tasks tasks of the step may start now. Long-running tasks always may. Others
/// may not
/// - beyond their share, above 20% of the pool's cores while jobs within their share wait in the
///   pool;
/// - if their workspace, queue or zone has its weight's part of the pool running already, and the
///   capacity is needed by others that have less than theirs. An account is an average over the
///   window; without this condition one of them could occupy the whole pool within it.
bool share_permits_start(
    const fleet& f, const job_entry& j, const workflow::step& s, std::int64_t tasks = 1);

/// \return what the shares of the job are and what was used of them; empty unless share_rule::work
/// is in force.
std::string describe_shares(
    const fleet& f, const job_entry& j, const workflow::step& s, core::mono_time now);

/// \return by name, what the accounts of the level have used as a ratio to their shares; 0 for
/// those that neither use nor wait. Empty unless share_rule::work is in force.
std::map<std::string, double> share_ratios(const fleet& f, share_level level, core::mono_time now);

/// \return the rows of the accounts for a successor, largest first, at most 64. They contain what
/// the active runs have used until now and not their expected rest, since the successor charges
/// the runs that it adopts.
std::vector<share_row> share_rows(const fleet& f, core::mono_time now);

/// Replaces the accounts by stored ones.
/// \param at when the rows were made, on the own clock; they decay from then on
void restore_shares(fleet& f, const std::vector<share_row>& rows, core::mono_time at);

} // namespace camphorhitch::coordinator
