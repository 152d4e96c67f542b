/// \file
/// Monitors whether this node, as the coordinator, lags and another node would decide faster, and
/// then hands leadership over.
#pragma once

#include "handover_policy.hpp"
#include "term.hpp"

#include <array>

namespace camphorhitch::hosted
{

class lag_monitor
{
public:
    explicit lag_monitor(term& t);

    void start();

    /// Records a timer that ran \p late_by after it was due. Must be called more often than once
    /// per brief span.
    void record_timer_delay(core::mono_time now, core::micros late_by);

private:
    /// Measures consecutive spans of one length.
    struct span_meter
    {
        lag_span kind = lag_span::brief;
        core::mono_time started_at;
        core::micros processor_time{0}; ///< processor time used until started_at
        core::micros overdue_time{0};   ///< overdue time since started_at
        int lagging_spans = 0;          ///< number of consecutive spans that favour a handover
    };

    lag_sample end_span(span_meter& m, core::mono_time now);
    void evaluate_lag(span_meter& m, core::mono_time now);
    void hand_over(const span_meter& m, const lag_sample& sample, const lag_history& history);

    term& term_;
    std::array<span_meter, 2> span_meters_{{{lag_span::brief, {}}, {lag_span::lasting, {}}}};
    core::mono_time term_started_at_;
};

} // namespace camphorhitch::hosted
