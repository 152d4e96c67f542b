/// \file
/// Takes what is known of tasks (reports, ended orders, lapsed leases) into the jobs.
#pragma once

#include "host_views.hpp"

namespace camphorhitch::jobs
{

/// Changes the jobs' states from what is known of their tasks.
void reconcile(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions);

/// \return whether the task hasn't been seen for longer than settings::report_patience. Its lease
/// is not renewed any more.
bool is_silent(const task_view& t, const settings& rules, core::mono_time now);

/// \return whether the lease of a silent task has certainly lapsed, whoever renewed it last.
bool has_lapsed(const pool_jobs& all, const job& j, const task_view& t, const round_input& in);

} // namespace camphorhitch::jobs
