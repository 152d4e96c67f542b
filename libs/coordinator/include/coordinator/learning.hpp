/// \file
/// What runs have shown: how long the tasks of an image take, since declared times are far off.
#pragma once

#include "workflow/model.hpp"

#include <map>
#include <string>

namespace camphorhitch::coordinator
{

struct learnt_time
{
    double mean_ms = 0;
    int runs = 0; ///< that it was learnt from, up to a bound
};

struct learnt
{
    std::map<std::string, learnt_time> images;
};

/// A task of an image has ended done after \p took.
void learn_time(learnt& l, const std::string& image, core::millis took);

/// \return how long a task of the step is expected to run: as learnt, else as declared.
core::millis expected_time(const learnt& l, const workflow::step& s);

/// \return the longest chain of expected run times through the steps.
core::millis expected_chain(const learnt& l, const std::vector<workflow::step>& steps);

/// \return within what time of its acceptance, or of an occurrence's due time, the job should end.
core::millis objective_of(const learnt& l, const workflow::job& j);

/// \return the expected time from the start of a step to the end of all that waits for it.
core::millis time_to_end(const learnt& l, const std::vector<workflow::step>& steps, int from);

} // namespace camphorhitch::coordinator
