/// \file
/// Availability budgets: counting the absences of one pool document.
#pragma once

#include "model/config.hpp"
#include "model/fleet.hpp"

#include <map>
#include <optional>
#include <string>

namespace camphorhitch::fleet
{

/// Own hosts of a pool that are absent and not replaced by a serving guest.
struct absences
{
    int missing = 0;                    ///< in the whole pool
    std::map<std::string, int> by_zone; ///< missing in each zone; guests of that zone count only
};

/// \return whether \p h is the pool's already; a host just added is not until it is confirmed.
bool is_member(const model::host_record& h);

/// \return whether \p h takes neither requests nor jobs and can't at once.
bool is_absent(const model::host_record& h);

/// \return whether \p h was lent by a spare pool.
bool is_guest(const model::host_record& h);

/// \return whether requests and jobs may be sent to \p h.
bool accepts_work(const model::host_record& h);

/// \return whether operators wished to forget \p h, a failed host, and it has not been dropped yet.
bool is_to_be_dropped(const model::host_record& h);

/// \return how many guests serve in \p d.
int serving_guests(const model::pool_document& d);

/// \return whether \p h leaves by a plan that has not been handed over yet, and so can be undone.
bool is_undoable(const model::host_record& h);

absences count_absences(const model::pool_document& d);

/// \return whether the whole pool and each of its zones are within \p b.
bool within(const absences& a, const model::availability_budget& b);

/// \return what uses up the budget, as one line for people: hosts, their states and purposes.
std::string describe_absences(
    const model::pool_document& d, const std::optional<model::availability_budget>& b);

/// \return the budget of \p pool, or nothing when the configuration does not have that pool.
std::optional<model::availability_budget> budget_of(
    const model::configuration& c, const std::string& pool);

} // namespace camphorhitch::fleet
