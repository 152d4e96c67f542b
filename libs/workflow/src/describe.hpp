/// \file
/// JSON keys of jobs, for the records in the store and for the documents that operators submit.
#pragma once

#include "checked_json/record.hpp"
#include "workflow/checks.hpp"
#include "workflow/documents.hpp"
#include "workflow/model.hpp"

#include <limits>
#include <type_traits>

namespace camphorhitch::workflow
{

/// Satisfied by Record, and by const Record, which is used for writing.
template <class T, class Record>
concept is_record = std::is_same_v<std::remove_const_t<T>, Record>;

inline constexpr job_bounds bounds;
inline constexpr checked_json::int_range amount_range{0, bounds.amount};
inline constexpr checked_json::int_range unix_time_range{0, bounds.unix_ms};
inline constexpr checked_json::int_range small_number{0, std::numeric_limits<int>::max()};
inline constexpr checked_json::int_range any_int{
    std::numeric_limits<int>::min(), std::numeric_limits<int>::max()};
inline constexpr checked_json::real_range stretch_range{0, bounds.stretch};
inline constexpr checked_json::millis_range time_span{core::millis{0}, bounds.duration};
inline constexpr checked_json::text_size name_size{0, bounds.name_bytes};

template <class Keys, is_record<step> R>
void describe(Keys& keys, R& r)
{
    keys.defaulted("tasks", r.tasks, small_number)
        .optional("cpu", r.need.cpu, amount_range)
        .optional("memory_mb", r.need.memory_mb, amount_range)
        .optional("gpus", r.need.gpus, amount_range)
        .optional("estimate_ms", r.estimated_run_time, time_span)
        .optional("after", r.depends_on)
        .optional("gang", r.gang)
        .optional("one_rack", r.prefers_one_rack)
        .optional("checkpoints", r.checkpoints)
        .optional("speculative", r.speculative)
        .optional("long_running", r.long_running)
        .optional("fills", r.best_effort)
        .optional("label", r.required_label, name_size)
        .optional("near_rack", r.preferred_rack, name_size)
        .optional("most_per_host", r.max_per_host, small_number)
        .optional("image", r.image, name_size)
        .optional("tail_target_ms", r.tail_latency_target, time_span)
        .optional("may_be_away", r.max_unavailable, small_number);
}

template <class Keys, is_record<schedule> R>
void describe_timing(Keys& keys, R& r)
{
    keys.optional("occurrences", r.occurrences, small_number)
        .optional("first_unix_ms", r.first_unix_ms, unix_time_range)
        .optional("interval_ms", r.interval_ms, unix_time_range);
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
        .optional("accepted_unix_ms", r.accepted_unix_ms, unix_time_range)
        .optional("priority", r.priority, any_int)
        .defaulted("most_attempts", r.max_attempts, any_int)
        .defaulted("stretch", r.stretch, stretch_range)
        .optional("slack_ms", r.slack, time_span)
        .optional("advised", r.needs_advice)
        .required("steps", r.steps);
    describe_timing(keys, r.timing);
}

} // namespace camphorhitch::workflow
