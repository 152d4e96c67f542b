#include "load_report.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

constexpr std::int64_t quarter_ms_in_us = 250;
constexpr std::int64_t quarters = 4;

/// \param q time in quarters of a millisecond
std::size_t bucket_of(std::int64_t q)
{
    if (q < quarters)
    {
        return 0;
    }
    const auto doublings = std::bit_width(static_cast<std::uint64_t>(q)) - 3;
    return static_cast<std::size_t>(doublings * quarters + ((q >> doublings) - quarters) + 1);
}

/// \return where the bucket ends, in quarters of a millisecond.
std::int64_t end_of_bucket(std::size_t bucket)
{
    if (bucket == 0)
    {
        return quarters;
    }
    const auto place = static_cast<std::int64_t>(bucket) - 1;
    return (quarters + place % quarters + 1) << (place / quarters);
}

std::string age_text(core::mono_time at, core::mono_time now)
{
    if (at == core::mono_time{})
    {
        return "never";
    }
    return std::to_string(std::chrono::duration_cast<core::millis>(now - at).count());
}

std::string spread_text(const time_spread& t)
{
    constexpr double half = 0.5;
    constexpr double most = 0.95;
    if (t.count() == 0)
    {
        return "-";
    }
    const auto text = [](core::millis ms)
    {
        return std::to_string(ms.count());
    };
    return text(t.within(half)) + '/' + text(t.within(most)) + '/' + text(t.largest());
}

} // namespace

void time_spread::add(core::micros t, std::int64_t times)
{
    const auto q = std::max<std::int64_t>(t.count() / quarter_ms_in_us, 0);
    counts_[std::min(bucket_of(q), buckets - 1)] += times;
    all_ += times;
    largest_ = std::max(largest_, t);
}

core::millis time_spread::within(double share) const
{
    const auto wanted = static_cast<double>(all_) * share;
    std::int64_t seen = 0;
    std::size_t i = 0;
    for (; i + 1 < buckets; ++i)
    {
        seen += counts_[i];
        if (static_cast<double>(seen) >= wanted)
        {
            break;
        }
    }
    const core::micros end{end_of_bucket(i) * quarter_ms_in_us};
    // Times beyond the last bucket stand in it.
    return i + 1 == buckets ? largest() : std::min(std::chrono::ceil<core::millis>(end), largest());
}

core::millis time_spread::largest() const
{
    return std::chrono::ceil<core::millis>(largest_);
}

std::int64_t time_spread::count() const
{
    return all_;
}

std::int64_t loop_delays::number_of(core::mono_time at)
{
    return at.time_since_epoch() / slot;
}

void loop_delays::add(core::mono_time at, core::micros late)
{
    const auto number = number_of(at);
    auto& it = all_[static_cast<std::size_t>(number) % slots];
    if (it.number != number)
    {
        it = {number, core::micros{0}};
    }
    it.largest = std::max(it.largest, late);
}

core::micros loop_delays::largest_since(core::mono_time from) const
{
    const auto first = number_of(from);
    core::micros out{0};
    for (const auto& it : all_)
    {
        if (it.number >= first)
        {
            out = std::max(out, it.largest);
        }
    }
    return out;
}

void end_ledger::take(std::int64_t ends, core::mono_time now)
{
    count_ += ends;
    const bool is_open = all_.size() > storing_ && now - all_.back().first < grain;
    if (is_open)
    {
        all_.back().second += ends;
    }
    else
    {
        all_.emplace_back(now, ends);
    }
}

void end_ledger::begin_store()
{
    storing_ = all_.size();
}

std::vector<std::pair<core::mono_time, std::int64_t>> end_ledger::stored()
{
    const auto last = all_.begin() + static_cast<std::ptrdiff_t>(std::exchange(storing_, 0));
    std::vector<std::pair<core::mono_time, std::int64_t>> out(all_.begin(), last);
    all_.erase(all_.begin(), last);
    for (const auto& [at, ends] : out)
    {
        count_ -= ends;
    }
    return out;
}

std::int64_t end_ledger::not_stored() const
{
    return count_;
}

void load_report::note_poll(const ports::poll_answer& a, std::int64_t seen, core::mono_time now)
{
    if (a.call.verdict != ports::runner_verdict::done)
    {
        ++counts.polls_failed;
        return;
    }
    ++counts.polls_answered;
    const auto fresh = std::count_if(a.ended.begin(),
        a.ended.end(),
        [seen](const ports::reported_end& it) { return it.number > seen; });
    if (fresh > 0)
    {
        counts.ends_taken += fresh;
        ends.take(fresh, now);
    }
}

void load_report::note_start_answer(const ports::runner_answer& a, core::micros took)
{
    ++counts.starts_answered;
    counts.starts_unknown += a.verdict == ports::runner_verdict::unknown ? 1 : 0;
    times.start.add(took);
}

std::vector<load_row> load_rows(const load_report& r, const load_moment& m)
{
    const auto& n = r.counts;
    std::vector<load_row> out{
        {"span_ms", load_kind::count, m.span.count()},
        {"starts_ordered", load_kind::count, n.starts_ordered},
        {"starts_answered", load_kind::count, n.starts_answered},
        {"starts_unknown", load_kind::count, n.starts_unknown},
        {"ends_taken", load_kind::count, n.ends_taken},
        {"polls_answered", load_kind::count, n.polls_answered},
        {"polls_failed", load_kind::count, n.polls_failed},
        {"plans", load_kind::count, n.plans},
        {"store_batches", load_kind::count, n.store_batches},
        {"tasks_waiting", load_kind::level, m.fleet.tasks_waiting},
        {"jobs_only_ordered", load_kind::level, m.fleet.jobs_without_start_answer},
        {"orders_unanswered", load_kind::level, r.orders_out},
        {"jobs_dirty", load_kind::level, m.fleet.jobs_dirty},
        {"ends_not_stored", load_kind::level, r.ends.not_stored()},
        {"hosts", load_kind::level, m.fleet.hosts},
        {"hosts_silent", load_kind::level, m.fleet.hosts_unresponsive},
        {"hosts_lease_low", load_kind::level, m.fleet.hosts_near_lease_expiry},
        {"timer_late_ms", load_kind::level, m.timer_late.count()},
        {"socket_late_ms", load_kind::level, m.socket_late.count()},
        {"overdue_ms", load_kind::count, m.overdue.count()},
        {"lease_age_ms", load_kind::level, m.lease_age.count()},
        {"intake_age_ms", load_kind::level, m.intake_age.count()},
    };
    if (m.processor)
    {
        out.push_back({"processor_ms", load_kind::count, m.processor->count()});
    }
    return out;
}

ports::log_fields time_fields(const load_times& t)
{
    return {{"read_ms", spread_text(t.read)},
        {"wait_ms", spread_text(t.wait)},
        {"start_ms", spread_text(t.start)},
        {"store_ms", spread_text(t.store)}};
}

ports::log_fields lapse_fields(
    const coordinator::expired_host& it, const load_report& r, core::mono_time now)
{
    const auto largest = [&](const loop_delays& of)
    {
        return std::to_string(
            std::chrono::ceil<core::millis>(of.largest_since(it.last_answer_at)).count());
    };
    return {{"host", it.host},
        {"runs", std::to_string(it.runs)},
        {"since_answer_ms", age_text(it.last_answer_at, now)},
        {"since_poll_ms", age_text(it.polled_at, now)},
        {"timer_late_ms", largest(r.timer_delays)},
        {"socket_late_ms", largest(r.socket_delays)}};
}

} // namespace camphorhitch::hosted
