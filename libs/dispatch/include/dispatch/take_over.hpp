/// \file
/// Takeover of a pool: the new owner determines which permits are in use before it grants permits.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// The members that a takeover has to take into account.
struct take_over_plan
{
    ports::epoch_number epoch = 0;
    /// Members of the new roster, the new owner included, which report their permits.
    std::vector<permit_holder> queried_members;
    /// Members that left the roster and can't be queried.
    std::vector<permit_holder> previous_members;
    /// From this time on, a member that has not reported sends no request under an old permit.
    core::mono_time report_deadline;
};

/// Starts a takeover. No permit is granted until every member of \p plan.queried_members has
/// reported or the report deadline has passed. The permits that previous and unresponsive members
/// may hold count as outstanding until max_use_time() has passed: they take slots as far as they
/// were reported, and they delay drains in any case.
void begin_take_over(pool_dispatcher& d, const take_over_plan& plan, core::mono_time now);

/// Moves the report deadline forward, when it is certain that members without a report send no
/// request under an old permit from an earlier time on than planned.
/// \param report_deadline the new deadline; a deadline later than the current one is ignored.
void advance_report_deadline(pool_dispatcher& d, core::mono_time report_deadline);

/// Handles a member's report of the permits that it holds. The owner reports its own permits in the
/// same way.
permit_answers on_held_report(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    const ports::held_reply& reply,
    core::mono_time now);

/// \return whether the takeover is complete, so that permits can be granted.
bool is_ready(const pool_dispatcher& d);

/// \return the longest time for which a permit granted now may be in use.
core::millis max_use_time(const pool_dispatcher& d);

/// \return whether \p member must take over \p pool although it owned the pool at epoch
/// \p last_owned and owns it in \p roster: another member may have owned the pool at an epoch in
/// between. A process that was paused sees only the newest roster and would otherwise rely on its
/// outdated count of permits.
bool needs_take_over(const model::roster_document& roster,
    ports::epoch_number last_owned,
    const std::string& member,
    const std::string& pool);

} // namespace camphorhitch::dispatch
