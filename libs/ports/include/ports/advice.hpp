/// \file
/// Port to the platform's placement advice. Only this service knows which hosts may run a step of
/// a job that needs advice.
#pragma once

#include "core/time.hpp"

#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

/// Permission to start the tasks of a step on one incarnation of a runner.
struct advice_ticket
{
    std::string runner; ///< id of the runner
    std::string ticket; ///< opaque; sent with the start order
};

struct advice_answer
{
    bool known = false;                 ///< false: the service did not answer, or refused
    std::vector<advice_ticket> tickets; ///< the other runners in the request may never run the step
    core::millis validity{0};           ///< of the tickets, from the arrival of the answer
};

struct advice
{
    /// Asks which of the runners may run the step.
    /// \param step "job.occurrence.step"
    /// \param runners ids of the runners in question
    std::function<void(
        std::string step, std::vector<std::string> runners, std::function<void(advice_answer)>)>
        ask;
};

} // namespace camphorhitch::ports
