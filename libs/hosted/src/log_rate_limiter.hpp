/// \file
/// Bounds the log lines of a busy process: writing costs processor time that the work needs.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace camphorhitch::hosted
{

struct line_budget
{
    /// Lines a second on average, and at once after a quiet second. A placement of a busy second
    /// (500 starts and ends) fits; a storm does not.
    std::int64_t per_second = 1200;
    std::int64_t left = 1200;
    std::int64_t left_out = 0; ///< since the last line that told so
    core::mono_time told;      ///< when that was
    core::mono_time refilled;
};

/// \return how many lines were left out, once a second at most; 0: nothing to tell now.
std::int64_t take_left_out(line_budget& b, core::mono_time now);

/// \return whether a line may be written now.
bool take_line(line_budget& b, core::mono_time now);

} // namespace camphorhitch::hosted
