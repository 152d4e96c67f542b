/// \file
/// The part of a take-over that time brings about.
#pragma once

#include "dispatch/take_over.hpp"

namespace camphorhitch::dispatch
{

/// The bound of the reports has passed: silent members start nothing new, and what they may have in
/// flight counts as a former member's does.
void end_waiting_for_reports(pool_dispatcher& d);

} // namespace camphorhitch::dispatch
