#include "experiment/codec.hpp"

#include "checked_json/record.hpp"

#include <type_traits>

namespace camphorhitch::experiment
{

/// Matches Record when reading, and const Record when writing.
template <class T, class Record>
concept is_record = std::is_same_v<std::remove_const_t<T>, Record>;

template <class Keys, is_record<arm> R>
void describe(Keys& keys, R& r)
{
    keys.required("name", r.name, checked_json::check_name)
        .required("policy", r.policy, checked_json::check_name);
}

template <class Keys, is_record<pool_measurements> R>
void describe(Keys& keys, R& r)
{
    using checked_json::real_range;
    keys.optional("observed_ms", r.observed_ms)
        .optional("buffer_host_hours", r.buffer_host_hours, real_range{})
        .optional("host_hours", r.host_hours, real_range{})
        .optional("rollouts", r.rollouts)
        .optional("rollout_hours", r.rollout_hours, real_range{})
        .optional("host_moves", r.host_moves)
        .optional("job_moves", r.job_moves);
}

template <class Keys, is_record<experiment_pool> R>
void describe(Keys& keys, R& r)
{
    keys.required("pool", r.pool)
        .required("arm", r.arm)
        .required("block", r.block)
        .optional("size", r.size, checked_json::real_range{})
        .required("policy_before", r.policy_before)
        .optional("withdrawn", r.withdrawn)
        .defaulted("sum", r.measured)
        .optional("at_limit_ms", r.at_limit_ms);
}

template <class Keys, is_record<guard_rails> R>
void describe(Keys& keys, R& r)
{
    using checked_json::int_range;
    keys.defaulted("most_at_limit_ms", r.max_at_limit_ms, int_range{})
        .defaulted("most_over_budget", r.max_over_budget, int_range{0, 1000000})
        .defaulted("most_halted_waves", r.max_halted_waves, int_range{0, 1000000});
}

template <class Keys, is_record<experiment_document> R>
void describe(Keys& keys, R& r)
{
    using checked_json::unique_by;
    keys.required("id", r.id, checked_json::check_name)
        .required("arms", r.arms, unique_by<arm>{"name", &arm::name})
        .required("seed", r.seed)
        .required("duration_ms", r.duration_ms)
        .defaulted("guards", r.guards)
        .required("state", r.state, experiment_state_names)
        .required("cause", r.reason, end_reason_names)
        .required("base_version", r.base_version)
        .required("pools", r.pools, unique_by<experiment_pool>{"pool", &experiment_pool::pool})
        .optional("started_ms", r.started_ms)
        .optional("ended_ms", r.ended_ms)
        .optional("observed_ms", r.observed_ms)
        .optional("over_budget", r.over_budget)
        .optional("halted_waves", r.halted_waves)
        .optional("last_sample", r.last_sample)
        .optional("commands", r.commands)
        .optional("rule", r.decision.rule)
        .optional("weighed", r.decision.weighed)
        .optional("decided_ms", r.decision.at_ms);
}

template <class Keys, is_record<start_request> R>
void describe(Keys& keys, R& r)
{
    keys.required("id", r.id, checked_json::check_name)
        .optional("command", r.command)
        .required("arms", r.arms, checked_json::unique_by<arm>{"name", &arm::name})
        .required("pools", r.pools, checked_json::unique_texts{})
        .required("seed", r.seed)
        .required("duration_ms", r.duration, checked_json::millis_range{})
        .defaulted("guards", r.guards);
}

std::string encode(const experiment_document& d)
{
    return checked_json::encode(d);
}

decoded<experiment_document> decode_experiment(const std::string& text, const std::string& name)
{
    return checked_json::decode<experiment_document>(text, name, checked_json::strictness::lenient);
}

decoded<start_request> decode_start(const std::string& text, const std::string& name)
{
    return checked_json::decode<start_request>(text, name, checked_json::strictness::strict);
}

} // namespace camphorhitch::experiment
