#include "lag_monitor.hpp"

#include "hosted/leadership.hpp"

#include <utility>

namespace camphorhitch::hosted
{

lag_monitor::lag_monitor(term& t) : term_(t)
{
}

void lag_monitor::start()
{
    term_started_at_ = term_.now();
    for (auto& it : span_meters_)
    {
        end_span(it, term_started_at_);
    }
}

void lag_monitor::record_timer_delay(core::mono_time now, core::micros late_by)
{
    if (!term_.ctx.processor_time || !term_.settings.hands_over_when_behind)
    {
        return;
    }
    for (auto& it : span_meters_)
    {
        it.overdue_time += late_by;
        if (term_.lead->token() != 0 && now - it.started_at >= duration_of(it.kind))
        {
            evaluate_lag(it, now);
        }
    }
}

lag_sample lag_monitor::end_span(span_meter& m, core::mono_time now)
{
    const auto& other = term_.ctx.best_other_share;
    const auto used = term_.ctx.processor_time ? term_.ctx.processor_time() : core::micros{0};
    lag_sample out;
    out.processor_share = term_.settings.processor_share;
    out.span = now - m.started_at;
    out.overdue_time = std::exchange(m.overdue_time, core::micros{0});
    out.processor_time = used - std::exchange(m.processor_time, used);
    out.best_other_share = other ? other() : 0;
    m.started_at = now;
    return out;
}

void lag_monitor::evaluate_lag(span_meter& m, core::mono_time now)
{
    const auto sample = end_span(m, now);
    m.lagging_spans =
        favours_handover(find_handover_cause(sample), m.kind) ? m.lagging_spans + 1 : 0;
    const lag_history history{m.lagging_spans,
        std::chrono::duration_cast<core::millis>(now - term_started_at_),
        term_.lead->recent_handovers()};
    if (should_hand_over(history))
    {
        hand_over(m, sample, history);
    }
}

void lag_monitor::hand_over(
    const span_meter& m, const lag_sample& sample, const lag_history& history)
{
    const auto text = [](core::micros t)
    {
        return std::to_string(std::chrono::round<core::millis>(t).count());
    };
    term_.ctx.tel.log(ports::log_level::warning,
        "leadership_handed_over",
        {{"reason", std::string{core::name_of(handover_cause_names, find_handover_cause(sample))}},
            {"token", std::to_string(term_.token)},
            {"share", std::to_string(sample.processor_share)},
            {"best_other_share", std::to_string(sample.best_other_share)},
            {"span", std::string{core::name_of(lag_span_names, m.kind)}},
            {"span_ms", text(sample.span)},
            {"overdue_ms", text(sample.overdue_time)},
            {"processor_ms", text(sample.processor_time)},
            {"late_spans", std::to_string(history.lagging_spans)},
            {"term_ms", text(history.term_age)},
            {"hand_overs", std::to_string(history.recent_handovers)}});
    term_.lead->hand_over("another node decides faster");
}

} // namespace camphorhitch::hosted
