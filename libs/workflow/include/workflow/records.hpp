/// \file
/// Texts of jobs and their progress in the metadata store: compact JSON, keys left out when empty.
#pragma once

#include "core/result.hpp"
#include "workflow/model.hpp"

#include <string>
#include <string_view>

namespace camphorhitch::workflow
{

std::string write_job(const job& j);

/// \return the job, or an error when the text is no job's.
core::result<job> read_job(const std::string& text);

/// \param j tells how many tasks there are
std::string write_progress(const job& j, const job_progress& p);

/// \param j tells how many tasks there are
/// \return the progress, or an error when the text is none of this job's.
core::result<job_progress> read_progress(const job& j, const std::string& text);

/// What a progress text tells without its job.
struct job_end
{
    job_state state = job_state::queued;
    std::int64_t unix_ms = 0; ///< when it became final; 0: it is not, or nobody knows
};

/// \return state and end of a progress text, or an error.
core::result<job_end> read_progress_end(const std::string& text);

/// \return only the state of a progress text, or an error.
core::result<job_state> read_progress_state(const std::string& text);

/// \return "job.occurrence.step.index".
std::string write_task_name(const task_name& name);

/// \return the name, or an error when \p text has another form.
core::result<task_name> read_task_name(std::string_view text);

} // namespace camphorhitch::workflow
