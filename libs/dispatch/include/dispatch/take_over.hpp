/// \file
/// A new owner of a pool finds out what is in flight before it gives out permits.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

struct take_over_plan
{
    ports::epoch_number epoch = 0;
    std::vector<permit_holder> asked;  ///< the members of the new roster, the owner itself too
    std::vector<permit_holder> former; ///< members that left the roster: nobody can ask them
    core::mono_time answers_by;        ///< from then on a silent member starts nothing new
};

/// Starts a take-over: no permit is granted until every member asked has reported or its bound has
/// passed. What former and silent members may hold counts as outstanding until the longest
/// request's time has passed: in slots as far as it was reported, for drains in any case.
void begin_take_over(pool_dispatcher& d, const take_over_plan& plan, core::mono_time now);

/// It is known by now that a silent member starts nothing from an earlier time on than was planned.
/// \param answers_by that time; a later one than the plan's changes nothing.
void hasten_take_over(pool_dispatcher& d, core::mono_time answers_by);

/// A member's report. The owner's own permits are reported in the same way.
permit_answers on_held(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    const ports::held_reply& reply,
    core::mono_time now);

/// \return whether permits can be granted.
bool is_ready(const pool_dispatcher& d);

/// \return the longest time for which a permit given out now may be in use.
core::millis longest_use(const pool_dispatcher& d);

/// \return whether \p member, which owned \p pool at \p last_owned without a break until it saw
/// \p roster, has to ask the others: another member may have owned the pool in between. A process
/// that was paused sees only the newest roster and would otherwise trust its old count.
bool needs_take_over(const model::roster_document& roster,
    ports::epoch_number last_owned,
    const std::string& member,
    const std::string& pool);

} // namespace camphorhitch::dispatch
