/// \file
/// Decides whether the coordinator lags and another node should take over from it.
///
/// Each change of the coordinator costs a read of all open jobs, and work that arrives faster than
/// a node with its full processor share can process would overload a successor with the same share
/// as well. Lag alone is therefore no reason for a handover. It is one if the node did not get its
/// processor share, or if another node has a clearly larger share: in these cases the waiting work
/// would grow for as long as this node leads, because waiting work makes each plan more expensive.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

namespace camphorhitch::hosted
{

/// Measurements over one span of the coordinator's term.
struct lag_sample
{
    double processor_share = 0; ///< share of a core that this node may use; 0: not known
    core::micros span{0};
    core::micros overdue_time{0}; ///< part of the span in which a timer was due and had not run yet
    core::micros processor_time{0}; ///< processor time that the process used
    /// Largest known share of a core of another node; 0: none is known.
    double best_other_share = 0;
};

/// Reason for a handover of leadership.
enum class handover_cause
{
    none,
    slowed,    ///< the node gets far less processor time than its share
    overloaded ///< the node uses its whole share, and another node has a clearly larger one
};

inline constexpr core::name_table<handover_cause, 3> handover_cause_names{{
    {handover_cause::none, "none"},
    {handover_cause::slowed, "slowed"},
    {handover_cause::overloaded, "overloaded"},
}};

/// Length of the spans over which lag is evaluated.
enum class lag_span
{
    /// A few iterations of the event loop; detects a slowed node, whose work waits from the first
    /// iteration on.
    brief,
    lasting ///< one second; an overload that passes sooner is not worth a change of the coordinator
};

inline constexpr core::name_table<lag_span, 2> lag_span_names{{
    {lag_span::brief, "brief"},
    {lag_span::lasting, "lasting"},
}};

/// \return the length of a span of that kind.
core::millis duration_of(lag_span kind);

/// State of a term on which the handover decision is based.
struct lag_history
{
    int lagging_spans = 0; ///< number of consecutive spans up to now that favour a handover
    core::millis term_age{0};
    int recent_handovers = 0; ///< number of recent handovers by any node
};

/// \return the cause that favours a handover; none unless timers were overdue for a large part of
/// the span.
handover_cause find_handover_cause(const lag_sample& p);

/// \return whether the cause counts when it is found in one span of that length.
bool favours_handover(handover_cause cause, lag_span kind);

/// \return the minimum age of a term before its coordinator hands over.
core::millis min_term_before_handover(int recent_handovers);

/// \return whether the lag has lasted for enough spans and the term is old enough.
bool should_hand_over(const lag_history& h);

/// \return the time within which a new coordinator must have read the open jobs.
/// \param recent_handovers as in lag_history::recent_handovers
core::millis max_job_read_time(int recent_handovers);

} // namespace camphorhitch::hosted
