/// \file
/// Jobs and their progress as texts in the metadata store: compact JSON without empty values.
#pragma once

#include "core/result.hpp"
#include "workflow/model.hpp"

#include <string>
#include <string_view>

namespace camphorhitch::workflow
{

std::string write_job(const job& j);

/// \return the job, or an error_code::invalid error when the text is not a valid job.
core::result<job> read_job(const std::string& text);

/// \param j the job of the progress; determines the number of tasks
std::string write_progress(const job& j, const job_progress& p);

/// \param j the job of the progress; determines the number of tasks
/// \return the progress, or an error_code::invalid error when the text is not a progress of \p j.
core::result<job_progress> read_progress(const job& j, const std::string& text);

/// The part of a progress text that can be read without its job.
struct job_end
{
    job_state state = job_state::queued;
    std::int64_t unix_ms = 0; ///< wall time at which it became final; 0: not final, or unknown
    std::string workspace;    ///< as job::workspace; empty in records without it
    resources held;           ///< as job_progress::held
};

/// \return state and end of a progress text, or an error_code::invalid error.
core::result<job_end> read_progress_end(const std::string& text);

/// \return the workspace in the text of a job or of its progress, empty in a text without one, or
/// an error_code::invalid error.
core::result<std::string> read_workspace(const std::string& text);

/// \return the state of a progress text, or an error_code::invalid error.
core::result<job_state> read_progress_state(const std::string& text);

/// \return "job.occurrence.step.index".
std::string write_task_name(const task_name& name);

/// \return the name, or an error_code::invalid error when \p text has another form.
core::result<task_name> read_task_name(std::string_view text);

} // namespace camphorhitch::workflow
