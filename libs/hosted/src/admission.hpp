/// \file
/// Decides whether a node accepts a job, by the coordinator's published forecast.
#pragma once

#include "core/time.hpp"
#include "forecast_digest.hpp"
#include "workflow/model.hpp"

namespace camphorhitch::hosted
{

/// Bounds of the decision.
struct admission_settings
{
    /// A job is refused only if it is expected to end later than its objective by more than this,
    /// plus chain_tolerance times its chain: declared run times are off by a factor of up to 1.9.
    core::millis late_tolerance{200};
    double chain_tolerance = 0.1;
    /// An older digest refuses nothing: there may be no coordinator that publishes one.
    core::millis max_digest_age{3000};
    /// Bounds of the time after which a refused caller may return.
    core::millis min_retry_after{1000};
    core::millis max_retry_after{10000};
};

struct admission_decision
{
    bool accepted = true;
    core::millis expected{0};    ///< until the job would end
    core::millis objective{0};   ///< within which it should end
    core::millis retry_after{0}; ///< of a refused job: whole seconds
    /// hopeless, no_digest, digest_old, pool_unknown, not_batch or in_time
    const char* reason = "in_time";
};

/// Decides on a job that is submitted now. Whatever is not certain accepts it.
/// \param digest newest known forecast; without pools: none is known
/// \param digest_age upper bound of the time since the digest was published
/// \param spread from 0 to 1, from the job's id: spreads the returns of refused callers
admission_decision judge_submission(const workflow::job& j,
    const forecast_digest& digest,
    core::millis digest_age,
    const admission_settings& s,
    double spread);

} // namespace camphorhitch::hosted
