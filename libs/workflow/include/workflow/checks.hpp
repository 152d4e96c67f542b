/// \file
/// Validation of jobs that callers submit.
#pragma once

#include "core/findings.hpp"
#include "workflow/model.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>

namespace camphorhitch::workflow
{

/// Bounds on one job. A submission that exceeds one of them is refused, and so is a record.
struct job_bounds
{
    std::size_t payload_bytes = 4000; ///< the hosting platform lets callers send no more
    /// Also bounds the dependencies of one step. Keeps a job's record far below the store's value
    /// limit.
    std::size_t steps = 256;
    std::size_t tasks = 20000;    ///< over all steps and occurrences; same reason as for steps
    std::size_t name_bytes = 256; ///< of a label, rack or image; same reason as for steps
    /// Of cpu, memory or GPUs of one task. Sums over the tasks of many jobs fit into 64 bits.
    std::int64_t amount = std::numeric_limits<std::int32_t>::max();
    /// 30 years: sums with a time of day fit into the 64-bit nanoseconds of the clocks.
    core::millis duration{std::int64_t{30} * 365 * 24 * 3600 * 1000};
    /// Time since 1970, and length of all intervals together; leaves a margin for sums.
    std::int64_t unix_ms = std::int64_t{1} << 53;
    double stretch = 1000; ///< keeps the product with a job's work inside 64 bits
};

/// \return everything that is wrong, each with the JSON pointer of the field in the submitted
/// document.
core::findings check_job(const job& j, const job_bounds& bounds = {});

} // namespace camphorhitch::workflow
