/// \file
/// Load of the node that coordinates: what it did since the latest report, by how much it was late,
/// and how much work waits.
#pragma once

#include "coordinator/intake.hpp"
#include "coordinator/load.hpp"
#include "core/time.hpp"
#include "ports/runners.hpp"
#include "ports/telemetry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::hosted
{

/// Histogram of times, with buckets that are at most a quarter wider than the one before: its
/// memory is bounded, whatever times are added.
class time_histogram
{
public:
    void add(core::micros t, std::int64_t times = 1);

    /// \return a time that at least \p share of all times do not exceed; at most a quarter too
    /// long.
    core::millis quantile(double share) const;

    core::millis max() const;
    std::int64_t count() const;

private:
    /// One bucket below a millisecond, then four for each doubling, up to 65 s.
    static constexpr std::size_t buckets = 65;

    std::array<std::int64_t, buckets> counts_{};
    std::int64_t total_ = 0;
    core::micros max_{0};
};

/// Delays of the event loop during the last 16 s.
class loop_delay_history
{
public:
    void add(core::mono_time at, core::micros late);

    /// \return the maximum delay since \p from; may include up to a quarter of a second before it.
    core::micros max_since(core::mono_time from) const;

private:
    static constexpr core::micros slot{250000};
    static constexpr std::size_t slots = 64;

    struct entry
    {
        std::int64_t number = -1; ///< of the slot, counted from the clock's epoch
        core::micros max{0};
    };

    static std::int64_t slot_number(core::mono_time at);

    std::array<entry, slots> entries_{};
};

/// Counts the run ends that have been applied to the fleet and are not stored yet.
class run_end_tracker
{
public:
    /// Records ends that have been applied.
    void record(std::int64_t ends, core::mono_time now);

    /// Marks the begin of a write that stores all ends recorded until now.
    void begin_store_write();

    /// Removes the ends that the write has stored, after its success.
    /// \return these ends as pairs of the time when they were applied and their number.
    std::vector<std::pair<core::mono_time, std::int64_t>> take_stored();

    std::int64_t count_not_stored() const;

private:
    /// Ends recorded within this time of each other are kept as one entry, at the first one's time.
    static constexpr core::millis merge_interval{10};

    std::deque<std::pair<core::mono_time, std::int64_t>> entries_;
    std::size_t entries_being_written_ = 0; ///< how many of the first entries are being written
    std::int64_t not_stored_ = 0;
};

/// Counts since the latest report.
struct load_counts
{
    std::int64_t starts_ordered = 0;
    std::int64_t starts_answered = 0;
    std::int64_t starts_unknown = 0; ///< of starts_answered: without an answer of the runner
    std::int64_t ends_taken = 0;     ///< run ends applied
    std::int64_t polls_answered = 0;
    std::int64_t polls_failed = 0;
    std::int64_t plans = 0;
    std::int64_t store_batches = 0; ///< transactions that store progress
};

/// Durations of the stages of a job, since the latest report.
struct load_times
{
    time_histogram job_read;     ///< from a job's acceptance until this node read it
    time_histogram start_wait;   ///< from a task's being ready until its start was ordered
    time_histogram start_answer; ///< from a start order until its answer
    time_histogram end_store;    ///< from applying a run's end until it was stored
};

struct load_report
{
    load_counts counts;
    load_times times;
    loop_delay_history timer_delays;
    loop_delay_history socket_delays; ///< from a descriptor's becoming ready until it was read
    run_end_tracker ends;
    std::int64_t orders_in_flight = 0; ///< starts and stops that are not answered

    /// Counts the answer to a poll and the run ends in it that are new.
    /// \param last_applied number of the runner's latest end that was applied before this answer
    void record_poll(const ports::poll_answer& a, std::int64_t last_applied, core::mono_time now);

    void record_start_answer(const ports::runner_answer& a, core::micros duration);
};

/// State sampled for a report.
struct load_sample
{
    coordinator::fleet_load fleet;
    core::millis span{0};            ///< time since the latest report
    core::millis intake_age{0};      ///< time since the store last answered about accepted jobs
    core::millis overdue{0};         ///< part of the span in which a timer was due and had not run
    core::millis lease_age{0};       ///< maximum age of the own lease at a renewal in the span
    core::millis max_timer_delay{0}; ///< maximum delay of a timer in the span
    core::millis max_socket_delay{
        0}; ///< maximum time in the span until a ready descriptor was read
    std::optional<core::millis> processor_time_used; ///< in the span; empty: not known
};

enum class load_row_kind
{
    counter, ///< amount in the span of the report
    gauge    ///< value at the time of the report
};

struct load_row
{
    const char* name;
    load_row_kind kind;
    std::int64_t value;
};

/// \return the values of a report, in the order of its log line.
std::vector<load_row> load_rows(const load_report& r, const load_sample& m);

/// \return median, 95th percentile and maximum of each stage's duration, in ms; "-" without
/// samples.
ports::log_fields duration_fields(const load_times& t);

/// \return log fields that show whether a host whose leases expired did not answer or this node was
/// late; ages in milliseconds.
ports::log_fields lease_expiry_fields(
    const coordinator::expired_host& it, const load_report& r, core::mono_time now);

} // namespace camphorhitch::hosted
