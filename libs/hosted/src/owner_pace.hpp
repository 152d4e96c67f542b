/// \file
/// Whether the node that coordinates decides slower than another would, and when it should hand the
/// lead over for that.
///
/// Each change of owner costs the reading of all open jobs, and work that comes faster than a node
/// with its whole share decides it would overload the next one of that share as well. So being late
/// alone is no cause. It is one without having had the processor, and beside a node with a clearly
/// larger share: there the waiting work would grow for as long as this one leads, since what waits
/// makes each plan dearer.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

namespace camphorhitch::hosted
{

/// Of one span of the owner's term.
struct owner_pace
{
    double share = 0; ///< of a core that this node may use; 0: not known
    core::micros span{0};
    core::micros overdue{0};   ///< time of it in which a timer that was due had not run yet
    core::micros processor{0}; ///< that the process used
    double best_other = 0;     ///< largest share of another node that is known; 0: none is
};

enum class hand_over_cause
{
    none,
    slowed,    ///< the node gets far less than its share
    overloaded ///< it uses its share up, and another node has a clearly larger one
};

inline constexpr core::name_table<hand_over_cause, 3> hand_over_cause_names{{
    {hand_over_cause::none, "none"},
    {hand_over_cause::slowed, "slowed"},
    {hand_over_cause::overloaded, "overloaded"},
}};

/// Over which time an owner's pace is judged.
enum class pace_span_kind
{
    brief,  ///< some turns of the loop: tells a slowed node, whose work waits from its first turn
    lasting ///< a second: an overload that passes sooner is worth no change of owner
};

inline constexpr core::name_table<pace_span_kind, 2> pace_span_kind_names{{
    {pace_span_kind::brief, "brief"},
    {pace_span_kind::lasting, "lasting"},
}};

core::millis length_of(pace_span_kind kind);

/// What led to the judgement, over a term.
struct pace_history
{
    int late_spans = 0;   ///< in a row, up to now, with a cause each
    core::millis term{0}; ///< age of the term
    int hand_overs = 0;   ///< by any node, lately
};

/// \return what speaks for another owner; none unless the node was behind for most of the span.
hand_over_cause cause_of(const owner_pace& p);

/// \return whether the cause counts when it is seen in one such span.
bool speaks_for_another(hand_over_cause cause, pace_span_kind kind);

/// \return how old a term has to be before its owner hands over.
core::millis least_term(int hand_overs);

/// \return whether the cause has lasted, and the term is old enough.
bool should_hand_over(const pace_history& h);

/// \return within what time of its term an owner has to have read the open jobs.
/// \param hand_overs as pace_history::hand_overs
core::millis time_to_read(int hand_overs);

} // namespace camphorhitch::hosted
