/// \file
/// Port to the platform's placement advice: it alone knows which hosts may run a step.
#pragma once

#include "core/time.hpp"

#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

/// Leave to start a step's tasks on one life of a runner.
struct advice_ticket
{
    std::string runner;
    std::string ticket;
};

struct advice_answer
{
    bool known = false;              ///< false: no answer, or a refusal
    std::vector<advice_ticket> good; ///< runners that may run the step; the others never may
    core::millis validity{0};        ///< of the tickets, from the answer on
};

struct advice
{
    /// \param step "job.occurrence.step"
    std::function<void(
        std::string step, std::vector<std::string> runners, std::function<void(advice_answer)>)>
        ask;
};

} // namespace camphorhitch::ports
