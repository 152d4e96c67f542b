/// \file
/// Validation of jobs that callers submit.
#pragma once

#include "core/findings.hpp"
#include "workflow/model.hpp"

namespace camphorhitch::workflow
{

/// Bounds on one job. A job that exceeds one of them gets a finding.
struct job_bounds
{
    std::size_t payload_bytes = 4000; ///< the hosting platform lets callers send no more
    std::size_t steps = 256;          ///< keeps a job's record far below the store's value limit
    std::size_t tasks = 20000;        ///< over all steps and occurrences; same reason as for steps
};

/// \return everything that is wrong, each with the JSON pointer of the field in the submitted
/// document.
core::findings check_job(const job& j, const job_bounds& bounds = {});

} // namespace camphorhitch::workflow
