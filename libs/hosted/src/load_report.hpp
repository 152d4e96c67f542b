/// \file
/// What the coordinating node did in the latest second, how late it was, and what lies before it.
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

/// Times in buckets that grow by a quarter at most: bounded, whatever comes.
class time_spread
{
public:
    void add(core::micros t, std::int64_t times = 1);

    /// \return a time that at least \p share of all were within: at most a quarter too long.
    core::millis within(double share) const;

    core::millis largest() const;
    std::int64_t count() const;

private:
    /// One below a millisecond, then four for each doubling, up to 65 s.
    static constexpr std::size_t buckets = 65;

    std::array<std::int64_t, buckets> counts_{};
    std::int64_t all_ = 0;
    core::micros largest_{0};
};

/// By how much the loop was late, for the last 16 s.
class loop_delays
{
public:
    void add(core::mono_time at, core::micros late);

    /// \return the largest since \p from, at most a quarter of a second before it.
    core::micros largest_since(core::mono_time from) const;

private:
    static constexpr core::micros slot{250000};
    static constexpr std::size_t slots = 64;

    struct entry
    {
        std::int64_t number = -1; ///< of its slot since the clock's begin
        core::micros largest{0};
    };

    static std::int64_t number_of(core::mono_time at);

    std::array<entry, slots> all_{};
};

/// Ends that were taken in and are not stored yet.
class end_ledger
{
public:
    void take(std::int64_t ends, core::mono_time now);

    /// A writing of all that was taken in until now begins.
    void begin_store();

    /// It has succeeded. \return the ends that are stored since, by the time they were taken in.
    std::vector<std::pair<core::mono_time, std::int64_t>> stored();

    std::int64_t not_stored() const;

private:
    /// Ends taken in within one such time count as taken in at its begin.
    static constexpr core::millis grain{10};

    std::deque<std::pair<core::mono_time, std::int64_t>> all_;
    std::size_t storing_ = 0; ///< so many of the first entries are being written
    std::int64_t count_ = 0;
};

/// Counts since the latest report.
struct load_counts
{
    std::int64_t starts_ordered = 0;
    std::int64_t starts_answered = 0;
    std::int64_t starts_unknown = 0; ///< of these: without an answer of the runner
    std::int64_t ends_taken = 0;
    std::int64_t polls_answered = 0;
    std::int64_t polls_failed = 0;
    std::int64_t plans = 0;         ///< rounds of decisions
    std::int64_t store_batches = 0; ///< of progress
};

/// Where a job's time went, since the latest report.
struct load_times
{
    time_spread read;  ///< a job's acceptance to its being read here
    time_spread wait;  ///< a task could start, until its start was ordered
    time_spread start; ///< the order to its answer
    time_spread store; ///< an end's being taken in to its being stored
};

struct load_report
{
    load_counts counts;
    load_times times;
    loop_delays timer_delays;
    loop_delays socket_delays; ///< from a descriptor's becoming ready to its being read
    end_ledger ends;
    std::int64_t orders_out = 0; ///< starts and stops that are not answered

    /// \param seen the runner's highest end that was taken in before this answer
    void note_poll(const ports::poll_answer& a, std::int64_t seen, core::mono_time now);

    void note_start_answer(const ports::runner_answer& a, core::micros took);
};

/// What is read at the moment of a report.
struct load_moment
{
    coordinator::fleet_load fleet;
    core::millis span{0};        ///< since the latest report
    core::millis intake_age{0};  ///< since the store last answered about accepted jobs
    core::millis overdue{0};     ///< time in which a timer that was due had not run yet
    core::millis lease_age{0};   ///< of the own lease, the largest at a renewal in that time
    core::millis timer_late{0};  ///< the largest delay of a timer in that time
    core::millis socket_late{0}; ///< the largest until a ready descriptor was read
    std::optional<core::millis> processor; ///< used in that time; nothing: not known
};

enum class load_kind
{
    count, ///< in the time of the report
    level  ///< at its moment
};

struct load_row
{
    const char* name;
    load_kind kind;
    std::int64_t value;
};

/// \return the figures of a report, in the order of its line.
std::vector<load_row> load_rows(const load_report& r, const load_moment& m);

/// \return median, 95th percentile and largest of each time, in ms; without samples: "-".
ports::log_fields time_fields(const load_times& t);

/// \return what tells whether a lapsed host was silent or this node late, ages in milliseconds.
ports::log_fields lapse_fields(
    const coordinator::expired_host& it, const load_report& r, core::mono_time now);

} // namespace camphorhitch::hosted
