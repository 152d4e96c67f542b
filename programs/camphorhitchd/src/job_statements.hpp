/// \file
/// Operators' statements on jobs.
#pragma once

#include "language/statements.hpp"
#include "operator_parts.hpp"

#include <functional>
#include <string>

namespace camphorhitch::daemon
{

using result_callback = std::function<void(statement_result)>;

/// \param command the statement's id; a repeat has its effect once.
void cancel_job(const operator_parts& parts,
    const language::cancel_job_statement& s,
    const std::string& command,
    const result_callback& done);

/// Cancels all that match now, with one write for each document of jobs.
/// \param document the text's name in findings.
void cancel_jobs(const operator_parts& parts,
    const language::cancel_jobs_statement& s,
    const std::string& document,
    const std::string& command,
    const result_callback& done);

void submit_job(const operator_parts& parts,
    const language::submit_job_statement& s,
    const std::string& document,
    const result_callback& done);

} // namespace camphorhitch::daemon
