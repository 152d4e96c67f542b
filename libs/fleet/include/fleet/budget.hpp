/// \file
/// Availability budgets: counts the absent hosts in one pool document.
#pragma once

#include "model/config.hpp"
#include "model/fleet.hpp"

#include <map>
#include <optional>
#include <string>

namespace camphorhitch::fleet
{

/// Number of a pool's own hosts that are absent and not replaced by a serving borrowed host.
struct absences
{
    int missing = 0; ///< hosts missing in the whole pool
    /// Hosts missing in each zone; a borrowed host replaces only a host of its own zone.
    std::map<std::string, int> by_zone;
};

/// \return whether \p h belongs to the pool. A host that an operator added does not belong to the
/// pool until it is confirmed (ownership 0).
bool is_member(const model::host_record& h);

/// \return whether \p h is out of service: it takes neither requests nor jobs and can't be put back
/// into service at once. A held host is not absent.
bool is_absent(const model::host_record& h);

/// \return whether \p h is borrowed, that is, lent to this pool by a spare pool.
bool is_borrowed(const model::host_record& h);

/// \return whether requests and jobs may be sent to \p h.
bool accepts_work(const model::host_record& h);

/// \return whether an operator asked to forget \p h, a failed host, and the host has not been
/// removed from the document yet.
bool is_pending_removal(const model::host_record& h);

/// \return the number of borrowed hosts that serve in \p d.
int count_serving_borrowed(const model::pool_document& d);

/// \return whether the planned absence of \p h can be undone: the host is draining or drained, has
/// not been handed over, and is not being taken away by the platform.
bool is_undoable(const model::host_record& h);

/// \return the absent hosts of \p d, in all and by zone.
absences count_absences(const model::pool_document& d);

/// \return whether the absences of the whole pool and of each zone are within \p b.
bool is_within_budget(const absences& a, const model::availability_budget& b);

/// \return one line for operators that says what uses up the budget: the absent hosts with their
/// states, purposes and zones.
std::string describe_absences(
    const model::pool_document& d, const std::optional<model::availability_budget>& b);

/// \return the budget of \p pool, or nullopt when the configuration does not contain that pool.
std::optional<model::availability_budget> budget_of(
    const model::configuration& c, const std::string& pool);

} // namespace camphorhitch::fleet
