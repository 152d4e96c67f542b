/// \file
/// The operators' configuration: one document with a version, in the key-value service.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::model
{

/// Most hosts of a pool that may be absent at once, planned and unplanned together.
struct availability_budget
{
    int absent = 1;          ///< in the whole pool
    int absent_per_zone = 1; ///< in any one availability zone

    bool operator==(const availability_budget&) const = default;
};

/// Bounds on the waiting requests of one class.
struct class_limits
{
    int queue = 200;             ///< waiting requests; one more is refused
    core::millis deadline{2000}; ///< for requests that bring none
    core::millis longest{10000}; ///< most time a request may ask for
    int reserved_slots = 0;      ///< slots of each target that this class leaves to quicker ones

    bool operator==(const class_limits&) const = default;
};

struct pool_config
{
    std::string name;
    std::vector<std::string> services; ///< names that callers use
    availability_budget budget;
    std::string policy;        ///< name of a wave policy
    std::string experiment;    ///< that set the policy, or empty: operators chose it
    std::string policy_before; ///< what operators chose, while an experiment is on
    bool spare = false;        ///< holds spare hosts for the other pools
    double size_class = 0;     ///< for pairing in experiments; 0: by number of hosts
    class_limits quick{200, core::millis{2000}, core::millis{10000}, 0};
    class_limits normal{200, core::millis{5000}, core::millis{20000}, 1};
    class_limits long_running{100, core::millis{30000}, core::millis{60000}, 3};
    double retry_ratio = 0.1; ///< retries per first attempt

    bool operator==(const pool_config&) const = default;
};

/// The kinds of wave policy.
enum class policy_kind
{
    one_by_one,   ///< baseline: one host at a time, a fixed buffer in each pool
    least_buffer, ///< spare hosts shared between pools, few absences at once
    fastest       ///< as many absences at once as the budgets allow
};

inline constexpr core::name_table<policy_kind, 3> policy_kind_names{{
    {policy_kind::one_by_one, "one_by_one"},
    {policy_kind::least_buffer, "least_buffer"},
    {policy_kind::fastest, "fastest"},
}};

struct policy_config
{
    std::string name;
    policy_kind kind = policy_kind::one_by_one;
    int canary = 1;                      ///< hosts in the first batch
    double growth = 2.0;                 ///< next batch over the last one
    int largest_batch = 0;               ///< 0: what the budgets allow
    int halt_after = 2;                  ///< hosts that failed to come back, to halt the wave
    int fixed_buffer = 1;                ///< spare hosts held back in each pool (one_by_one)
    core::millis return_timeout{600000}; ///< a host not back by then has failed
    core::millis drain_timeout{120000};  ///< a drain not done by then is reported

    bool operator==(const policy_config&) const = default;
};

struct team_config
{
    std::string name;
    double processors = 0; ///< quota
    double memory_gb = 0;  ///< quota
    int accelerators = 0;  ///< quota

    bool operator==(const team_config&) const = default;
};

struct configuration
{
    std::int64_t version = 0;
    std::vector<pool_config> pools;
    std::vector<policy_config> policies;
    std::vector<team_config> teams;
    core::millis key_memory{900000};   ///< how long an idempotency key is remembered
    int keys_per_slot = 4000;          ///< most keys remembered in one slot
    int answer_kept_bytes = 16384;     ///< larger answers are remembered without their body
    std::vector<std::string> commands; ///< ids of the newest commands applied, for repeats

    bool operator==(const configuration&) const = default;
};

const pool_config* find_pool(const configuration& c, const std::string& name);
const pool_config* find_pool_of_service(const configuration& c, const std::string& service);
const policy_config* find_policy(const configuration& c, const std::string& name);

} // namespace camphorhitch::model
