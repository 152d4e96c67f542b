/// \file
/// Two ways to place the same jobs on the same workers: the product's, and the baseline (first fit
/// by declared size, first come first served).
#pragma once

#include "job_fakes/member.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

class scheduler
{
public:
    virtual ~scheduler() = default;

    virtual std::string name() const = 0;
    virtual void submit(job_fakes::world& w, const std::vector<jobs::submission>& all) = 0;

    /// One step at the world's time.
    virtual void step(job_fakes::world& w) = 0;

    virtual int waiting() const = 0;

    /// Jobs given up after too many failures.
    virtual int given_up() const = 0;
};

std::unique_ptr<scheduler> make_rounds(core::mono_time now);

/// \param skips whether a job that doesn't fit lets the next ones go first.
std::unique_ptr<scheduler> make_first_fit(bool skips);

} // namespace camphorhitch::bench
