/// \file
/// What is wrong with a job that a caller submits.
#pragma once

#include "core/findings.hpp"
#include "workflow/model.hpp"

namespace camphorhitch::workflow
{

/// Bounds on one job; a caller who goes over them gets a finding.
struct job_bounds
{
    std::size_t payload_bytes = 4000; ///< what the hosting platform lets callers send
    std::size_t steps = 256;          ///< keeps one job's record far below a stored value's limit
    std::size_t tasks = 20000;        ///< over all steps and occurrences; as above
};

/// \return all that is wrong, each with the place of the field in the submitted document.
core::findings check_job(const job& j, const job_bounds& most = {});

} // namespace camphorhitch::workflow
