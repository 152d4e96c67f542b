/// \file
/// Applies the state of the tasks (reports, results of orders, expired leases) to the jobs.
#pragma once

#include "host_views.hpp"

namespace camphorhitch::jobs
{

/// Changes the jobs' states according to the state of their tasks.
void reconcile(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions);

/// \return whether no report has named the task for longer than settings::report_timeout. Its lease
/// is not renewed any more.
bool is_unresponsive(const task_record& t, const settings& rules, core::mono_time now);

/// \return whether the lease of an unresponsive task has certainly expired, whichever owner renewed
/// it last.
bool has_lease_expired(
    const pool_jobs& all, const job& j, const task_record& t, const round_input& in);

} // namespace camphorhitch::jobs
