#include "owner_pace.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

namespace
{

/// A loop that is behind for less of its time serves callers well enough.
constexpr double least_overdue = 0.4;
/// While it is behind, a loop computes: a sound one uses its whole share then, and what it uses
/// while it is in time comes on top. Measured, late owners on sound machines used 1.3 of it and
/// more, and on machines five times slower 0.13 to 0.2.
constexpr double least_used = 0.5;
/// Shares that differ by less are not worth the reading of all jobs.
constexpr double clearly_larger = 1.5;
/// A span ends with a timer that runs, so a machine that is suspended or frozen once shows one such
/// span, however long it stood still.
constexpr int least_spans = 2;
/// Several timers of a sound loop; on a slowed node a single turn may fill it.
constexpr core::millis brief_span{150};
constexpr core::millis lasting_span{1000};
/// A successor reads all open jobs in 0.3 to 0.7 s, five times slower in 3.5 s.
constexpr core::millis shortest_term{1500};
/// Ten times what 2,400 jobs take a node with half a core, and one page that is given up and
/// another.
constexpr core::millis enough_to_read{4000};
/// Twice as long after each hand-over, up to this: a fleet of small nodes gets its jobs read too.
constexpr int most_doublings_to_read = 2;
/// Doubled so often: 96 s, longer than hand-overs are remembered.
constexpr int most_doublings = 6;

} // namespace

hand_over_cause cause_of(const owner_pace& p)
{
    const auto overdue = static_cast<double>(p.overdue.count());
    const bool late = overdue >= least_overdue * static_cast<double>(p.span.count());
    if (p.share <= 0 || p.span.count() <= 0 || !late)
    {
        return hand_over_cause::none;
    }
    const auto used = static_cast<double>(p.processor.count());
    if (used < least_used * p.share * overdue)
    {
        return hand_over_cause::slowed;
    }
    return p.best_other >= clearly_larger * p.share ? hand_over_cause::overloaded
                                                    : hand_over_cause::none;
}

core::millis length_of(pace_span_kind kind)
{
    return kind == pace_span_kind::brief ? brief_span : lasting_span;
}

bool speaks_for_another(hand_over_cause cause, pace_span_kind kind)
{
    return cause == hand_over_cause::slowed ||
           (cause == hand_over_cause::overloaded && kind == pace_span_kind::lasting);
}

core::millis least_term(int hand_overs)
{
    return shortest_term * (1 << std::clamp(hand_overs, 0, most_doublings));
}

bool should_hand_over(const pace_history& h)
{
    return h.late_spans >= least_spans && h.term >= least_term(h.hand_overs);
}

core::millis time_to_read(int hand_overs)
{
    return enough_to_read * (1 << std::clamp(hand_overs, 0, most_doublings_to_read));
}

} // namespace camphorhitch::hosted
