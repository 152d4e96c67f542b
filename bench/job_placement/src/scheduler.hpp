/// \file
/// The schedulers that are compared on the same jobs and workers: the product's, and the baseline
/// (first fit by declared size, first come first served).
#pragma once

#include "job_fakes/member.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// A scheduler under test.
class scheduler
{
public:
    virtual ~scheduler() = default;

    virtual std::string name() const = 0;
    virtual void submit(
        job_fakes::pool_environment& env, const std::vector<jobs::submission>& all) = 0;

    /// Runs one step at the environment's present time.
    virtual void step(job_fakes::pool_environment& env) = 0;

    /// \return the number of waiting jobs.
    virtual int waiting() const = 0;

    /// \return the number of jobs that were abandoned after too many failures.
    virtual int abandoned() const = 0;
};

/// \return the product's scheduler.
std::unique_ptr<scheduler> make_rounds(core::mono_time now);

/// \return the baseline.
/// \param skips whether jobs behind a job that doesn't fit may start before
/// it.
std::unique_ptr<scheduler> make_first_fit(bool skips);

} // namespace camphorhitch::bench
