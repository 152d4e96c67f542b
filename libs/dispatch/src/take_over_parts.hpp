/// \file
/// The part of a take-over that time brings about.
#pragma once

#include "dispatch/take_over.hpp"

namespace camphorhitch::dispatch
{

/// The bound of the reports has passed: silent members start nothing new, and what they may have in
/// flight counts as a former member's does.
void end_waiting_for_reports(pool_dispatcher& d, core::mono_time now);

/// A member whose report is missing is proven to be gone.
void note_gone(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    core::mono_time now);

/// \return whether members that nobody can ask may hold permits that nobody counted.
bool has_unheard(const pool_dispatcher& d, core::mono_time now);

} // namespace camphorhitch::dispatch
