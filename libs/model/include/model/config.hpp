/// \file
/// The operators' configuration: one versioned document in the key-value service.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::model
{

/// Maximum number of hosts of a pool that may be absent at once. Planned and unplanned absences
/// count together.
struct availability_budget
{
    int absent = 1;          ///< in the pool
    int absent_per_zone = 1; ///< in any one availability zone

    bool operator==(const availability_budget&) const = default;
};

/// Limits on the requests of one class.
struct class_limits
{
    int queue = 200;             ///< maximum number of waiting requests; more are refused
    core::millis deadline{2000}; ///< for requests without a deadline of their own
    core::millis longest{10000}; ///< maximum deadline that a request may have
    int reserved_slots = 0;      ///< slots of each target that are reserved for quicker classes

    bool operator==(const class_limits&) const = default;
};

/// Settings of a pool.
struct pool_config
{
    std::string name;
    std::vector<std::string> services; ///< services of the pool, by the names that callers use
    availability_budget budget;
    std::string policy;        ///< name of a wave policy
    std::string experiment;    ///< experiment that sets the policy; empty: operators set it
    std::string policy_before; ///< policy to restore after the experiment; empty: no experiment
    bool spare = false;        ///< the pool holds spare hosts for the other pools
    double size_class = 0;     ///< size by which experiments pair pools; 0: the number of hosts
    class_limits quick{200, core::millis{2000}, core::millis{10000}, 0};
    class_limits normal{200, core::millis{5000}, core::millis{20000}, 1};
    class_limits long_running{100, core::millis{30000}, core::millis{60000}, 3};
    double retry_ratio = 0.1; ///< maximum ratio of retries to first attempts

    bool operator==(const pool_config&) const = default;
};

/// Strategies of maintenance waves.
enum class policy_kind
{
    one_by_one,   ///< baseline: one host at a time, with a fixed buffer in each pool
    least_buffer, ///< pools share spare hosts; few hosts are absent at once
    fastest       ///< as many hosts are absent at once as the budgets allow
};

inline constexpr core::name_table<policy_kind, 3> policy_kind_names{{
    {policy_kind::one_by_one, "one_by_one"},
    {policy_kind::least_buffer, "least_buffer"},
    {policy_kind::fastest, "fastest"},
}};

/// A wave policy.
struct policy_config
{
    std::string name;
    policy_kind kind = policy_kind::one_by_one;
    int canary = 1;        ///< number of hosts in the first batch
    double growth = 2.0;   ///< ratio of the size of a batch to that of the previous batch
    int largest_batch = 0; ///< maximum number of hosts in a batch; 0: as the budgets allow
    int halt_after = 2;    ///< number of hosts that did not return at which the wave halts
    int fixed_buffer = 1;  ///< number of spare hosts kept in each pool (one_by_one)
    core::millis return_timeout{600000}; ///< a host that takes longer to return has failed
    core::millis drain_timeout{120000};  ///< a drain that takes longer is reported

    bool operator==(const policy_config&) const = default;
};

/// Quota of a team.
struct team_config
{
    std::string name;
    double processors = 0;
    double memory_gb = 0;
    int accelerators = 0;

    bool operator==(const team_config&) const = default;
};

/// The configuration document. Names of members that the statement `set config` assigns are names
/// of the operators' language.
struct configuration
{
    std::int64_t version = 0; ///< incremented by each change
    std::vector<pool_config> pools;
    std::vector<policy_config> policies;
    std::vector<team_config> teams;
    core::millis key_memory{900000};   ///< retention of idempotency keys
    int keys_per_slot = 4000;          ///< maximum number of idempotency keys retained in one slot
    int answer_kept_bytes = 16384;     ///< larger answers are retained without their body
    std::vector<std::string> commands; ///< ids of the last applied commands, to detect repeats

    bool operator==(const configuration&) const = default;
};

// Each function returns null when there is no such object.
const pool_config* find_pool(const configuration& c, const std::string& name);
const pool_config* find_pool_of_service(const configuration& c, const std::string& service);
const policy_config* find_policy(const configuration& c, const std::string& name);

} // namespace camphorhitch::model
