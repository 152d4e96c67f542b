/// \file
/// The order of service by the completion forecast.
#pragma once

#include "starts.hpp"

namespace camphorhitch::coordinator
{

/// Replaces the outlook that the step has by itself by that of its job; without an outlook the step
/// stays as it is. Later steps of a started job come before new jobs.
void apply_forecast(waiting_step& w);

/// \return whether \p a precedes \p b in the order of job ids, occurrences and steps.
bool is_named_before(const waiting_step& a, const waiting_step& b);

/// Adds the steps of jobs that have waited too long once more, to be served before all others with
/// the share of the cores that the forecast leaves to them.
void add_overdue_steps(const fleet& f, std::vector<waiting_step>& all);

/// \return the outlook of a job with waiting tasks and the work that is ahead of it; empty without
/// a forecast.
std::string describe_forecast(const fleet& f, const job_entry& j);

} // namespace camphorhitch::coordinator
