#include "load_report.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

constexpr std::int64_t us_per_quarter_ms = 250;
constexpr std::int64_t quarters_per_ms = 4;

/// \param q time in quarters of a millisecond
std::size_t bucket_of(std::int64_t q)
{
    if (q < quarters_per_ms)
    {
        return 0;
    }
    const auto doublings = std::bit_width(static_cast<std::uint64_t>(q)) - 3;
    return static_cast<std::size_t>(
        doublings * quarters_per_ms + ((q >> doublings) - quarters_per_ms) + 1);
}

/// \return the upper end of the bucket, in quarters of a millisecond.
std::int64_t bucket_end(std::size_t bucket)
{
    if (bucket == 0)
    {
        return quarters_per_ms;
    }
    const auto index = static_cast<std::int64_t>(bucket) - 1;
    return (quarters_per_ms + index % quarters_per_ms + 1) << (index / quarters_per_ms);
}

std::string age_text(core::mono_time at, core::mono_time now)
{
    if (at == core::mono_time{})
    {
        return "never";
    }
    return std::to_string(std::chrono::duration_cast<core::millis>(now - at).count());
}

std::string histogram_text(const time_histogram& t)
{
    constexpr double median = 0.5;
    constexpr double high = 0.95;
    if (t.count() == 0)
    {
        return "-";
    }
    const auto text = [](core::millis ms)
    {
        return std::to_string(ms.count());
    };
    return text(t.quantile(median)) + '/' + text(t.quantile(high)) + '/' + text(t.max());
}

} // namespace

void time_histogram::add(core::micros t, std::int64_t times)
{
    const auto q = std::max<std::int64_t>(t.count() / us_per_quarter_ms, 0);
    counts_[std::min(bucket_of(q), buckets - 1)] += times;
    total_ += times;
    max_ = std::max(max_, t);
}

core::millis time_histogram::quantile(double share) const
{
    const auto target = static_cast<double>(total_) * share;
    std::int64_t counted = 0;
    std::size_t i = 0;
    for (; i + 1 < buckets; ++i)
    {
        counted += counts_[i];
        if (static_cast<double>(counted) >= target)
        {
            break;
        }
    }
    const core::micros end{bucket_end(i) * us_per_quarter_ms};
    // The last bucket also holds all longer times.
    return i + 1 == buckets ? max() : std::min(std::chrono::ceil<core::millis>(end), max());
}

core::millis time_histogram::max() const
{
    return std::chrono::ceil<core::millis>(max_);
}

std::int64_t time_histogram::count() const
{
    return total_;
}

std::int64_t loop_delay_history::slot_number(core::mono_time at)
{
    return at.time_since_epoch() / slot;
}

void loop_delay_history::add(core::mono_time at, core::micros late)
{
    const auto number = slot_number(at);
    auto& it = entries_[static_cast<std::size_t>(number) % slots];
    if (it.number != number)
    {
        it = {number, core::micros{0}};
    }
    it.max = std::max(it.max, late);
}

core::micros loop_delay_history::max_since(core::mono_time from) const
{
    const auto first = slot_number(from);
    core::micros out{0};
    for (const auto& it : entries_)
    {
        if (it.number >= first)
        {
            out = std::max(out, it.max);
        }
    }
    return out;
}

void run_end_tracker::record(std::int64_t ends, core::mono_time now)
{
    not_stored_ += ends;
    const bool is_open =
        entries_.size() > entries_being_written_ && now - entries_.back().first < merge_interval;
    if (is_open)
    {
        entries_.back().second += ends;
    }
    else
    {
        entries_.emplace_back(now, ends);
    }
}

void run_end_tracker::begin_store_write()
{
    entries_being_written_ = entries_.size();
}

std::vector<std::pair<core::mono_time, std::int64_t>> run_end_tracker::take_stored()
{
    const auto last =
        entries_.begin() + static_cast<std::ptrdiff_t>(std::exchange(entries_being_written_, 0));
    std::vector<std::pair<core::mono_time, std::int64_t>> out(entries_.begin(), last);
    entries_.erase(entries_.begin(), last);
    for (const auto& [at, ends] : out)
    {
        not_stored_ -= ends;
    }
    return out;
}

std::int64_t run_end_tracker::count_not_stored() const
{
    return not_stored_;
}

void load_report::record_poll(
    const ports::poll_answer& a, std::int64_t last_applied, core::mono_time now)
{
    if (a.call.verdict != ports::runner_verdict::done)
    {
        ++counts.polls_failed;
        return;
    }
    ++counts.polls_answered;
    const auto new_ends = std::count_if(a.ended.begin(),
        a.ended.end(),
        [last_applied](const ports::reported_end& it) { return it.number > last_applied; });
    if (new_ends > 0)
    {
        counts.ends_taken += new_ends;
        ends.record(new_ends, now);
    }
}

void load_report::record_start_answer(const ports::runner_answer& a, core::micros duration)
{
    ++counts.starts_answered;
    counts.starts_unknown += a.verdict == ports::runner_verdict::unknown ? 1 : 0;
    times.start_answer.add(duration);
}

std::vector<load_row> load_rows(const load_report& r, const load_sample& m)
{
    const auto& n = r.counts;
    std::vector<load_row> out{
        {"span_ms", load_row_kind::counter, m.span.count()},
        {"starts_ordered", load_row_kind::counter, n.starts_ordered},
        {"starts_answered", load_row_kind::counter, n.starts_answered},
        {"starts_unknown", load_row_kind::counter, n.starts_unknown},
        {"ends_taken", load_row_kind::counter, n.ends_taken},
        {"polls_answered", load_row_kind::counter, n.polls_answered},
        {"polls_failed", load_row_kind::counter, n.polls_failed},
        {"plans", load_row_kind::counter, n.plans},
        {"store_batches", load_row_kind::counter, n.store_batches},
        {"tasks_waiting", load_row_kind::gauge, m.fleet.tasks_waiting},
        {"jobs_only_ordered", load_row_kind::gauge, m.fleet.jobs_without_start_answer},
        {"orders_unanswered", load_row_kind::gauge, r.orders_in_flight},
        {"jobs_dirty", load_row_kind::gauge, m.fleet.jobs_dirty},
        {"ends_not_stored", load_row_kind::gauge, r.ends.count_not_stored()},
        {"hosts", load_row_kind::gauge, m.fleet.hosts},
        {"hosts_silent", load_row_kind::gauge, m.fleet.hosts_unresponsive},
        {"hosts_lease_low", load_row_kind::gauge, m.fleet.hosts_near_lease_expiry},
        {"jobs_held_back", load_row_kind::gauge, m.fleet.jobs_held_back},
        {"hosts_unseen", load_row_kind::gauge, m.fleet.hosts_unseen},
        {"longest_lease_ms", load_row_kind::gauge, m.fleet.longest_lease_ms},
        {"timer_late_ms", load_row_kind::gauge, m.max_timer_delay.count()},
        {"socket_late_ms", load_row_kind::gauge, m.max_socket_delay.count()},
        {"overdue_ms", load_row_kind::counter, m.overdue.count()},
        {"lease_age_ms", load_row_kind::gauge, m.lease_age.count()},
        {"intake_age_ms", load_row_kind::gauge, m.intake_age.count()},
    };
    if (m.processor_time_used)
    {
        out.push_back({"processor_ms", load_row_kind::counter, m.processor_time_used->count()});
    }
    return out;
}

ports::log_fields duration_fields(const load_times& t)
{
    return {{"read_ms", histogram_text(t.job_read)},
        {"wait_ms", histogram_text(t.start_wait)},
        {"start_ms", histogram_text(t.start_answer)},
        {"store_ms", histogram_text(t.end_store)}};
}

ports::log_fields lease_expiry_fields(
    const coordinator::expired_host& it, const load_report& r, core::mono_time now)
{
    const auto max_delay = [&](const loop_delay_history& of)
    {
        return std::to_string(
            std::chrono::ceil<core::millis>(of.max_since(it.last_answer_at)).count());
    };
    return {{"host", it.host},
        {"runs", std::to_string(it.runs)},
        {"since_answer_ms", age_text(it.last_answer_at, now)},
        {"since_poll_ms", age_text(it.polled_at, now)},
        {"timer_late_ms", max_delay(r.timer_delays)},
        {"socket_late_ms", max_delay(r.socket_delays)}};
}

} // namespace camphorhitch::hosted
