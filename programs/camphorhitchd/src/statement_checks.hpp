/// \file
/// Checks all statements of a text before any of them runs.
#pragma once

#include "core/findings.hpp"
#include "language/parse.hpp"
#include "service_refs.hpp"

#include <string>

namespace camphorhitch::daemon
{

/// \param document name of the text in findings.
/// \return the parser's findings, and the errors that do not depend on the fleet's state: unknown
/// fields, wrong kinds of values, and missing parts of a job. An unknown name is reported when its
/// statement runs.
core::findings check_statements(
    const language::parse_result& text, const service_refs& services, const std::string& document);

/// A job that a statement submits, and its pool.
struct named_submission
{
    std::string pool;
    jobs::submission job;
};

/// \return the job that the statement submits, or the findings about it.
std::variant<named_submission, core::findings> read_submission(
    const language::submit_job_statement& s, const std::string& document);

} // namespace camphorhitch::daemon
