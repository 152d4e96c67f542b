/// \file
/// Execution of operators' statements on jobs.
#pragma once

#include "language/statements.hpp"
#include "service_refs.hpp"

#include <functional>
#include <string>

namespace camphorhitch::daemon
{

/// Receives the result of a statement.
using result_callback = std::function<void(statement_result)>;

/// Cancels one job.
/// \param command id of the statement; a repeated statement takes effect once.
void cancel_job(const service_refs& services,
    const language::cancel_job_statement& s,
    const std::string& command,
    const result_callback& done);

/// Cancels all jobs that match now, with one write per job document.
/// \param document name of the statements' text in findings.
void cancel_jobs(const service_refs& services,
    const language::cancel_jobs_statement& s,
    const std::string& document,
    const std::string& command,
    const result_callback& done);

/// Submits one job.
/// \param document name of the statement's text in findings.
void submit_job(const service_refs& services,
    const language::submit_job_statement& s,
    const std::string& document,
    const result_callback& done);

} // namespace camphorhitch::daemon
