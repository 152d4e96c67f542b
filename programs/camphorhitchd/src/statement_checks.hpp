/// \file
/// Finds the mistakes of a whole text before any of its statements is run.
#pragma once

#include "core/findings.hpp"
#include "language/parse.hpp"
#include "operator_parts.hpp"

#include <string>

namespace camphorhitch::daemon
{

/// \param document the text's name in findings.
/// \return what the parser found, and what is wrong with statements whatever the fleet's state:
///     fields, kinds of values, and what a job lacks. A name that nothing bears is found when its
///     statement's turn comes.
core::findings check_statements(
    const language::parse_result& text, const operator_parts& parts, const std::string& document);

/// A job as a statement submits it.
struct named_submission
{
    std::string pool;
    jobs::submission job;
};

/// \return the job that the statement submits, or what is wrong with it.
std::variant<named_submission, core::findings> read_submission(
    const language::submit_job_statement& s, const std::string& document);

} // namespace camphorhitch::daemon
