#include "handover_policy.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

namespace
{

/// Fraction of a span with overdue timers below which the event loop serves callers well enough.
constexpr double min_overdue_fraction = 0.4;
/// Fraction of the available processor time below which a lagging node counts as slowed. A lagging
/// event loop computes all the time: on a healthy machine it uses its whole share meanwhile, plus
/// what it uses while it is on time. Lagging coordinators use 1.3 of that time and more on healthy
/// machines, and 0.13 to 0.2 on machines that are five times slower.
constexpr double min_used_fraction = 0.5;
/// Ratio of processor shares below which a handover is not worth the read of all jobs.
constexpr double min_share_ratio = 1.5;
/// Consecutive lagging spans that are required for a handover. A span ends with a timer that runs,
/// so a machine that is suspended or frozen once shows only one such span, however long it stood
/// still.
constexpr int min_lagging_spans = 2;
/// Covers several timers of a healthy event loop; on a slowed node a single iteration may fill it.
constexpr core::millis brief_span{150};
constexpr core::millis lasting_span{1000};
/// A successor reads all open jobs in 0.3 to 0.7 s, and in 3.5 s on a machine that is five times
/// slower.
constexpr core::millis min_term{1500};
/// Ten times the time that a node with half a core needs to read 2,400 jobs, and enough for one
/// page that times out and is read again.
constexpr core::millis base_read_time{4000};
/// The read time doubles with each recent handover up to this number of times, so that the jobs are
/// read in a fleet of small nodes as well.
constexpr int max_read_time_doublings = 2;
/// The minimum term doubles with each recent handover up to this number of times. It is 96 s then,
/// longer than handovers count as recent.
constexpr int max_term_doublings = 6;

} // namespace

handover_cause find_handover_cause(const lag_sample& p)
{
    const auto overdue_time = static_cast<double>(p.overdue_time.count());
    const bool is_late = overdue_time >= min_overdue_fraction * static_cast<double>(p.span.count());
    if (p.processor_share <= 0 || p.span.count() <= 0 || !is_late)
    {
        return handover_cause::none;
    }
    const auto used = static_cast<double>(p.processor_time.count());
    if (used < min_used_fraction * p.processor_share * overdue_time)
    {
        return handover_cause::slowed;
    }
    return p.best_other_share >= min_share_ratio * p.processor_share ? handover_cause::overloaded
                                                                     : handover_cause::none;
}

core::millis duration_of(lag_span kind)
{
    return kind == lag_span::brief ? brief_span : lasting_span;
}

bool favours_handover(handover_cause cause, lag_span kind)
{
    return cause == handover_cause::slowed ||
           (cause == handover_cause::overloaded && kind == lag_span::lasting);
}

core::millis min_term_before_handover(int recent_handovers)
{
    return min_term * (1 << std::clamp(recent_handovers, 0, max_term_doublings));
}

bool should_hand_over(const lag_history& h)
{
    return h.lagging_spans >= min_lagging_spans &&
           h.term_age >= min_term_before_handover(h.recent_handovers);
}

core::millis max_job_read_time(int recent_handovers)
{
    return base_read_time * (1 << std::clamp(recent_handovers, 0, max_read_time_doublings));
}

} // namespace camphorhitch::hosted
