/// \file
/// Runners that start again under the id that they had.
#pragma once

#include "coordinator/intake.hpp"

namespace camphorhitch::coordinator
{

/// \param runner id of the runner, in any incarnation
/// \return the present incarnation of the runner, or nullptr when it is unknown.
host_entry* find_runner(fleet& f, const std::string& runner);

const host_entry* find_runner(const fleet& f, const std::string& runner);

/// Passes on what concerns later incarnations of a runner to its host \p id, which was just added:
/// starts that may still begin there must be stopped first, and earlier incarnations have ended.
void inherit_from_earlier_incarnations(fleet& f, const std::string& id, task_events& out);

/// Replaces host \p old by the incarnation of its runner that began at \p born_ms. Orders name a
/// runner by its id only, so one that was sent to the old incarnation may have been carried out by
/// the new one. Runs that no poll of the old incarnation listed are therefore passed on as
/// unsettled, and the new host counts as inherited until it was polled. All other runs have ended.
/// If the start time of \p old is unknown, both may be the same incarnation, and all runs are
/// passed on. The new host may be known: a coordinator that ends just after a restart leaves both
/// in the record of runners.
///
/// \param old not a reference into the host, which is removed
/// \return the new host; its labels and capacity are unknown until the list of runners shows it
host_entry& replace_incarnation(
    fleet& f, const std::string& old, std::int64_t born_ms, core::mono_time now, task_events& out);

} // namespace camphorhitch::coordinator
