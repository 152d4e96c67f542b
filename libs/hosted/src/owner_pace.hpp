/// \file
/// Whether the node that coordinates gets less of the processor than its share, and when it should
/// hand the lead to another for that.
///
/// Work that comes faster than a node with its whole share decides it would overload the next one
/// as well, and each change of owner costs the reading of all open jobs. So being late is no cause:
/// only being late without having had the processor is.
#pragma once

#include "core/time.hpp"

namespace camphorhitch::hosted
{

/// Of one span of the owner's term.
struct owner_pace
{
    double share = 0; ///< of a core that this node may use; 0: not known
    core::millis span{0};
    core::millis overdue{0};   ///< time of it in which a timer that was due had not run yet
    core::millis processor{0}; ///< that the process used
};

/// What led to the judgement, over a term.
struct pace_history
{
    int slowed_spans = 0; ///< in a row, up to now
    core::millis term{0}; ///< age of the term
    int hand_overs = 0;   ///< by any node, lately
};

/// \return whether the node was behind for most of the span, and got far less than its share
/// meanwhile.
bool is_slowed(const owner_pace& p);

/// \return how old a term has to be before its owner hands over.
core::millis least_term(int hand_overs);

/// \return whether the owner is slowed, and its term is old enough.
bool should_hand_over(const pace_history& h);

/// \return within what time of its term an owner has to have read the open jobs.
/// \param hand_overs as pace_history::hand_overs
core::millis time_to_read(int hand_overs);

} // namespace camphorhitch::hosted
