/// \file
/// What targets and callers saw of a run, and the check of the promises made to callers. It trusts
/// nothing that the members say of themselves.
#pragma once

#include "claims/executor.hpp"

#include <string>
#include <vector>

namespace camphorhitch::claims::testing
{

/// A request that left for a target.
struct sent_record
{
    std::string key;
    int body = 0;
    std::string attempt;
    core::mono_time at{};
    std::string answer; ///< unique, also when it was lost on the way
};

/// What a caller was told.
struct told_record
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

struct history
{
    std::vector<sent_record> sent;
    std::vector<told_record> told;
};

/// \return one line for each promise that was broken.
std::vector<std::string> broken_promises(const history& seen, core::millis key_memory);

} // namespace camphorhitch::claims::testing
