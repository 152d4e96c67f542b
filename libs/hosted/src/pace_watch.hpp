/// \file
/// Watches whether this node decides slower than another would while it coordinates, and hands the
/// lead over then.
#pragma once

#include "owner_pace.hpp"
#include "term.hpp"

#include <array>

namespace camphorhitch::hosted
{

class pace_watch
{
public:
    explicit pace_watch(term& t);

    void start();

    /// Takes in a timer that ran \p late_by after it was due. To be called more often than every
    /// brief span.
    void see_timer(core::mono_time now, core::micros late_by);

private:
    /// One span after the other, and what they showed.
    struct meter
    {
        pace_span_kind kind = pace_span_kind::brief;
        core::mono_time since;
        core::micros processor{0}; ///< used until then
        core::micros overdue{0};   ///< since then
        int late_spans = 0;        ///< in a row
    };

    owner_pace end_span(meter& m, core::mono_time now);
    void judge(meter& m, core::mono_time now);
    void hand_over(const meter& m, const owner_pace& pace, const pace_history& history);

    term& term_;
    std::array<meter, 2> meters_{{{pace_span_kind::brief, {}}, {pace_span_kind::lasting, {}}}};
    core::mono_time began_; ///< the term
};

} // namespace camphorhitch::hosted
