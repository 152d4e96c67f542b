#include "jobs/codec.hpp"

#include "checked_json/record.hpp"

#include <type_traits>

namespace camphorhitch::jobs
{

namespace
{

/// A document holds thousands of jobs, each with several dozen values.
constexpr checked_json::parse_limits document_bounds{1u << 20, 16, 1u << 18};

} // namespace

struct submission_list
{
    std::vector<submission> jobs;
};

/// T when reading, const T when writing.
template <class T, class Record>
concept is_record = std::is_same_v<std::remove_const_t<T>, Record>;

template <class Keys, is_record<resources> R>
void describe(Keys& keys, R& r)
{
    using checked_json::int_range;
    using checked_json::real_range;
    keys.optional("processors", r.processors, real_range{})
        .optional("memory_gb", r.memory_gb, real_range{})
        .optional("accelerators", r.accelerators, int_range{0, 100000});
}

template <class Keys, is_record<host_failure> R>
void describe(Keys& keys, R& r)
{
    keys.required("host", r.host).required("count", r.count, checked_json::int_range{});
}

template <class Keys, is_record<job> R>
void describe_submitted(Keys& keys, R& r)
{
    keys.required("id", r.id, checked_json::check_name)
        .required("team", r.team)
        .optional("kind", r.kind)
        .required("class", r.klass, job_class_names)
        .optional("declared", r.declared)
        .optional("run_time_ms", r.run_time)
        .optional("idempotent", r.idempotent)
        .optional("payload", r.payload)
        .optional("body_hash", r.body_hash)
        .optional("submitted_ms", r.submitted_ms);
}

template <class Keys, is_record<job> R>
void describe(Keys& keys, R& r)
{
    describe_submitted(keys, r);
    keys.required("state", r.state, job_state_names)
        .optional("since_ms", r.state_since_ms)
        .optional("attempt", r.attempt)
        .optional("host", r.host)
        .optional("starter", r.recorded_by)
        .optional("reserved", r.reserved)
        .optional("expected_ms", r.expected_run_time)
        .optional("lease_ms", r.lease_ttl)
        .optional("throttled", r.throttled)
        .optional("releasing", r.releasing, release_reason_names)
        .optional("checkpoint", r.checkpoint)
        .optional("preemptions", r.preemptions)
        .optional("moves", r.moves)
        .optional("moved_in", r.moved_by_wave)
        .optional("failures", r.failures)
        .optional("used", r.peak_use)
        .optional("ran_ms", r.measured_run_time)
        .optional("rule", r.decision.rule)
        .optional("weighed", r.decision.weighed)
        .optional("decided_ms", r.decision.at_ms);
}

template <class Keys, is_record<fencing_token> R>
void describe(Keys& keys, R& r)
{
    keys.optional("epoch", r.epoch).optional("incarnation", r.incarnation);
}

template <class Keys, is_record<job_document> R>
void describe(Keys& keys, R& r)
{
    keys.required("pool", r.pool)
        .required("bucket", r.bucket, checked_json::int_range{0, buckets_per_pool - 1})
        .defaulted("placer", r.token)
        .optional("jobs", r.jobs, checked_json::unique_by<job>{"id", &job::id});
}

template <class Keys, is_record<quota_grant> R>
void describe(Keys& keys, R& r)
{
    keys.required("pool", r.pool)
        .defaulted("owner", r.owner)
        .optional("granted", r.granted)
        .optional("wanted", r.wanted);
}

template <class Keys, is_record<quota_document> R>
void describe(Keys& keys, R& r)
{
    keys.required("team", r.team)
        .optional(
            "grants", r.grants, checked_json::unique_by<quota_grant>{"pool", &quota_grant::pool});
}

template <class Keys, is_record<submission> R>
void describe(Keys& keys, R& r)
{
    keys.required("id", r.id, checked_json::check_name)
        .required("team", r.team, checked_json::check_name)
        .optional("kind", r.kind)
        .required("class", r.klass, job_class_names)
        .required("declared", r.declared)
        .required("run_time_ms", r.run_time, checked_json::millis_range{})
        .optional("idempotent", r.idempotent)
        .optional("payload", r.payload);
}

template <class Keys, is_record<submission_list> R>
void describe(Keys& keys, R& r)
{
    keys.required("jobs", r.jobs, checked_json::unique_by<submission>{"id", &submission::id});
}

std::string encode(const job_document& d)
{
    return checked_json::encode(d);
}

std::string encode(const quota_document& d)
{
    return checked_json::encode(d);
}

std::string encode(const job& j)
{
    return checked_json::encode(j);
}

decoded<job_document> decode_jobs(const std::string& text, const std::string& name)
{
    return checked_json::decode<job_document>(
        text, name, checked_json::strictness::lenient, document_bounds);
}

decoded<quota_document> decode_quota(const std::string& text, const std::string& name)
{
    return checked_json::decode<quota_document>(text, name, checked_json::strictness::lenient);
}

decoded<std::vector<submission>> decode_submissions(
    const std::string& text, const std::string& name)
{
    auto list = checked_json::decode<submission_list>(text, name, checked_json::strictness::strict);
    if (auto* wrong = std::get_if<core::findings>(&list))
    {
        return std::move(*wrong);
    }
    return std::move(std::get<submission_list>(list).jobs);
}

} // namespace camphorhitch::jobs
