/// \file
/// The keys of the records of the configuration, for reading and writing.
#pragma once

#include "checked_json/record.hpp"
#include "model/config.hpp"

#include <type_traits>

namespace camphorhitch::model
{

/// Matches Record when reading, and const Record when writing.
template <class T, class Record>
concept is_record = std::is_same_v<std::remove_const_t<T>, Record>;

namespace config_bounds
{

using checked_json::int_range;
using checked_json::millis_range;
using checked_json::real_range;

inline constexpr int_range hosts{0, 100000};
inline constexpr int_range at_least_one_host{1, 100000};
inline constexpr int_range queue{0, 1000000};
inline constexpr int_range slots{0, 10000};
inline constexpr int_range keys{1, 10000000};
inline constexpr int_range answer_bytes{0, 1 << 24};
inline constexpr real_range growth{1, 1000};
inline constexpr real_range ratio{0, 1};
inline constexpr millis_range request_time{core::millis{1}, core::millis{3600000}};
inline constexpr millis_range wave_time{core::millis{1}, core::millis{86400000}};
inline constexpr millis_range key_lifetime{core::millis{1000}, core::millis{86400000}};

} // namespace config_bounds

template <class Keys, is_record<availability_budget> R>
void describe(Keys& keys, R& r)
{
    keys.defaulted("absent", r.absent, config_bounds::hosts)
        .defaulted("absent_per_zone", r.absent_per_zone, config_bounds::hosts);
}

template <class Keys, is_record<class_limits> R>
void describe(Keys& keys, R& r)
{
    keys.defaulted("queue", r.queue, config_bounds::queue)
        .defaulted("deadline_ms", r.deadline, config_bounds::request_time)
        .defaulted("longest_ms", r.longest, config_bounds::request_time)
        .defaulted("reserved_slots", r.reserved_slots, config_bounds::slots);
}

template <class Keys, is_record<pool_config> R>
void describe(Keys& keys, R& r)
{
    keys.required("name", r.name, checked_json::check_name)
        .optional("services", r.services, checked_json::unique_texts{}, checked_json::check_name)
        .defaulted("budget", r.budget)
        .required("policy", r.policy, checked_json::check_name)
        .optional("experiment", r.experiment)
        .optional("policy_before", r.policy_before)
        .optional("spare", r.spare)
        .optional("size_class", r.size_class, checked_json::real_range{})
        .defaulted("quick", r.quick)
        .defaulted("normal", r.normal)
        .defaulted("long_running", r.long_running)
        .defaulted("retry_ratio", r.retry_ratio, config_bounds::ratio);
}

template <class Keys, is_record<policy_config> R>
void describe(Keys& keys, R& r)
{
    keys.required("name", r.name, checked_json::check_name)
        .required("kind", r.kind, policy_kind_names)
        .defaulted("canary", r.canary, config_bounds::at_least_one_host)
        .defaulted("growth", r.growth, config_bounds::growth)
        .optional("largest_batch", r.largest_batch, config_bounds::hosts)
        .defaulted("halt_after", r.halt_after, config_bounds::at_least_one_host)
        .defaulted("fixed_buffer", r.fixed_buffer, config_bounds::hosts)
        .defaulted("return_timeout_ms", r.return_timeout, config_bounds::wave_time)
        .defaulted("drain_timeout_ms", r.drain_timeout, config_bounds::wave_time);
}

template <class Keys, is_record<team_config> R>
void describe(Keys& keys, R& r)
{
    keys.required("name", r.name, checked_json::check_name)
        .optional("processors", r.processors, checked_json::real_range{})
        .optional("memory_gb", r.memory_gb, checked_json::real_range{})
        .optional("accelerators", r.accelerators, checked_json::int_range{0, 1000000});
}

template <class Keys, is_record<configuration> R>
void describe(Keys& keys, R& r)
{
    using checked_json::unique_by;
    keys.optional("version", r.version, checked_json::int_range{})
        .optional("pools", r.pools, unique_by<pool_config>{"name", &pool_config::name})
        .optional("policies", r.policies, unique_by<policy_config>{"name", &policy_config::name})
        .optional("teams", r.teams, unique_by<team_config>{"name", &team_config::name})
        .defaulted("key_memory_ms", r.key_memory, config_bounds::key_lifetime)
        .defaulted("keys_per_slot", r.keys_per_slot, config_bounds::keys)
        .defaulted("answer_kept_bytes", r.answer_kept_bytes, config_bounds::answer_bytes)
        .optional("commands", r.commands);
}

} // namespace camphorhitch::model
