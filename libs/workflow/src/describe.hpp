/// \file
/// JSON keys of jobs, for the records in the store and for the documents that operators submit.
#pragma once

#include "checked_json/record.hpp"
#include "workflow/documents.hpp"
#include "workflow/model.hpp"

#include <type_traits>

namespace camphorhitch::workflow
{

/// Satisfied by Record, and by const Record, which is used for writing.
template <class T, class Record>
concept is_record = std::is_same_v<std::remove_const_t<T>, Record>;

inline constexpr checked_json::int_range whole_number{0, std::int64_t{1} << 53};
inline constexpr checked_json::int_range small_number{0, std::numeric_limits<int>::max()};
inline constexpr checked_json::int_range any_int{
    std::numeric_limits<int>::min(), std::numeric_limits<int>::max()};
/// Keeps the product with a job's work inside 64 bits. Values in use are below 10.
inline constexpr checked_json::real_range stretch_range{0, 1000};
/// Up to 30 years, so that sums with a time of day fit into the 64-bit nanoseconds of the clocks.
inline constexpr checked_json::millis_range time_span{
    core::millis{0}, core::millis{std::int64_t{30} * 365 * 24 * 3600 * 1000}};

template <class Keys, is_record<step> R>
void describe(Keys& keys, R& r)
{
    keys.defaulted("tasks", r.tasks, small_number)
        .optional("cpu", r.need.cpu, whole_number)
        .optional("memory_mb", r.need.memory_mb, whole_number)
        .optional("gpus", r.need.gpus, whole_number)
        .optional("estimate_ms", r.estimated_run_time, time_span)
        .optional("after", r.depends_on)
        .optional("gang", r.gang)
        .optional("one_rack", r.prefers_one_rack)
        .optional("checkpoints", r.checkpoints)
        .optional("speculative", r.speculative)
        .optional("long_running", r.long_running)
        .optional("fills", r.best_effort)
        .optional("label", r.required_label)
        .optional("near_rack", r.preferred_rack)
        .optional("most_per_host", r.max_per_host, small_number)
        .optional("image", r.image)
        .optional("tail_target_ms", r.tail_latency_target, time_span)
        .optional("may_be_away", r.max_unavailable, small_number);
}

template <class Keys, is_record<schedule> R>
void describe_timing(Keys& keys, R& r)
{
    keys.optional("occurrences", r.occurrences, small_number)
        .optional("first_unix_ms", r.first_unix_ms, whole_number)
        .optional("interval_ms", r.interval_ms, whole_number);
}

template <class Keys, is_record<job_request> R>
void describe(Keys& keys, R& r)
{
    keys.required("id", r.id, checked_json::check_name)
        .required("queue", r.queue)
        .optional("payload", r.payload)
        .required("steps", r.steps);
    describe_timing(keys, r.timing);
}

template <class Keys, is_record<job> R>
void describe(Keys& keys, R& r)
{
    keys.optional("id", r.id)
        .optional("queue", r.queue)
        .optional("pool", r.pool)
        .optional("workspace", r.workspace)
        .optional("zone", r.zone)
        .optional("payload", r.payload)
        .optional("accepted_unix_ms", r.accepted_unix_ms, whole_number)
        .optional("priority", r.priority, any_int)
        .defaulted("most_attempts", r.max_attempts, any_int)
        .defaulted("stretch", r.stretch, stretch_range)
        .optional("slack_ms", r.slack, time_span)
        .optional("advised", r.needs_advice)
        .required("steps", r.steps);
    describe_timing(keys, r.timing);
}

} // namespace camphorhitch::workflow
