/// \file
/// What targets and callers observed in a run, and the check of the promises made to callers. The
/// check uses nothing that the members report about themselves.
#pragma once

#include "claims/executor.hpp"

#include <string>
#include <vector>

namespace camphorhitch::claims::testing
{

/// A request that was sent to a target.
struct sent_request
{
    std::string key;
    int body = 0;
    std::string attempt;
    core::mono_time at{};
    std::string answer; ///< unique, also when the answer was lost in transit
};

/// An outcome that was reported to a caller.
struct reported_outcome
{
    std::string key;
    int body = 0;
    std::string attempt;
    core::mono_time arrived{};
    core::mono_time at{};
    outcome kind = outcome::unknown;
    outcome_reason reason = outcome_reason::given_up;
    std::string answer;
};

struct observations
{
    std::vector<sent_request> sent;
    std::vector<reported_outcome> reported;
};

/// \return one line for each violated promise.
std::vector<std::string> find_violations(const observations& observed, core::millis key_memory);

} // namespace camphorhitch::claims::testing
