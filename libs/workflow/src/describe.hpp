/// \file
/// The keys of jobs as JSON, for the store's records and for what operators submit.
#pragma once

#include "checked_json/record.hpp"
#include "workflow/documents.hpp"
#include "workflow/model.hpp"

#include <type_traits>

namespace camphorhitch::workflow
{

/// T, or const T when writing.
template <class T, class Record>
concept is_record = std::is_same_v<std::remove_const_t<T>, Record>;

inline constexpr checked_json::int_range whole_number{0, std::int64_t{1} << 53};
inline constexpr checked_json::int_range small_number{0, std::numeric_limits<int>::max()};
inline constexpr checked_json::int_range any_int{
    std::numeric_limits<int>::min(), std::numeric_limits<int>::max()};
/// The product with a job's work stays inside 64 bits; those in use are below 10.
inline constexpr checked_json::real_range stretch_range{0, 1000};
/// Up to 30 years: sums with the time of day stay inside the clocks' nanoseconds.
inline constexpr checked_json::millis_range time_span{
    core::millis{0}, core::millis{std::int64_t{30} * 365 * 24 * 3600 * 1000}};

template <class Keys, is_record<step> R>
void describe(Keys& keys, R& r)
{
    keys.defaulted("tasks", r.tasks, small_number)
        .optional("cpu", r.need.cpu, whole_number)
        .optional("memory_mb", r.need.memory_mb, whole_number)
        .optional("gpus", r.need.gpus, whole_number)
        .optional("estimate_ms", r.estimate, time_span)
        .optional("after", r.after)
        .optional("gang", r.gang)
        .optional("one_rack", r.one_rack)
        .optional("checkpoints", r.checkpoints)
        .optional("speculative", r.speculative)
        .optional("long_running", r.long_running)
        .optional("fills", r.fills)
        .optional("label", r.required_label)
        .optional("near_rack", r.near_rack)
        .optional("most_per_host", r.most_per_host, small_number)
        .optional("image", r.image)
        .optional("tail_target_ms", r.tail_target, time_span)
        .optional("may_be_away", r.may_be_away, small_number);
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
        .optional("payload", r.payload)
        .optional("accepted_unix_ms", r.accepted_unix_ms, whole_number)
        .optional("priority", r.priority, any_int)
        .defaulted("most_attempts", r.most_attempts, any_int)
        .defaulted("stretch", r.stretch, stretch_range)
        .optional("slack_ms", r.slack, time_span)
        .optional("advised", r.advised)
        .required("steps", r.steps);
    describe_timing(keys, r.timing);
}

} // namespace camphorhitch::workflow
