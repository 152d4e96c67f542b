#include "pace_watch.hpp"

#include "hosted/leadership.hpp"

#include <utility>

namespace camphorhitch::hosted
{

pace_watch::pace_watch(term& t) : term_(t)
{
}

void pace_watch::start()
{
    began_ = term_.now();
    for (auto& it : meters_)
    {
        end_span(it, began_);
    }
}

void pace_watch::see_timer(core::mono_time now, core::micros late_by)
{
    if (!term_.ctx.processor_time || !term_.settings.hands_over_when_behind)
    {
        return;
    }
    for (auto& it : meters_)
    {
        it.overdue += late_by;
        if (term_.lead->token() != 0 && now - it.since >= length_of(it.kind))
        {
            judge(it, now);
        }
    }
}

owner_pace pace_watch::end_span(meter& m, core::mono_time now)
{
    const auto& other = term_.ctx.best_other_share;
    const auto used = term_.ctx.processor_time ? term_.ctx.processor_time() : core::micros{0};
    owner_pace out;
    out.share = term_.settings.processor_share;
    out.span = now - m.since;
    out.overdue = std::exchange(m.overdue, core::micros{0});
    out.processor = used - std::exchange(m.processor, used);
    out.best_other = other ? other() : 0;
    m.since = now;
    return out;
}

void pace_watch::judge(meter& m, core::mono_time now)
{
    const auto pace = end_span(m, now);
    m.late_spans = speaks_for_another(cause_of(pace), m.kind) ? m.late_spans + 1 : 0;
    const pace_history history{m.late_spans,
        std::chrono::duration_cast<core::millis>(now - began_),
        term_.lead->hand_overs()};
    if (should_hand_over(history))
    {
        hand_over(m, pace, history);
    }
}

void pace_watch::hand_over(const meter& m, const owner_pace& pace, const pace_history& history)
{
    const auto text = [](core::micros t)
    {
        return std::to_string(std::chrono::round<core::millis>(t).count());
    };
    term_.ctx.tel.log(ports::log_level::warning,
        "leadership_handed_over",
        {{"reason", std::string{core::name_of(hand_over_cause_names, cause_of(pace))}},
            {"token", std::to_string(term_.token)},
            {"share", std::to_string(pace.share)},
            {"best_other_share", std::to_string(pace.best_other)},
            {"span", std::string{core::name_of(pace_span_kind_names, m.kind)}},
            {"span_ms", text(pace.span)},
            {"overdue_ms", text(pace.overdue)},
            {"processor_ms", text(pace.processor)},
            {"late_spans", std::to_string(history.late_spans)},
            {"term_ms", text(history.term)},
            {"hand_overs", std::to_string(history.hand_overs)}});
    term_.lead->hand_over("another node decides faster");
}

} // namespace camphorhitch::hosted
