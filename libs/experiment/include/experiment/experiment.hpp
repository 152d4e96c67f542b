/// \file
/// An experiment runs pools under different policies and measures each pool.
#pragma once

#include "core/names.hpp"
#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::experiment
{

/// State of an experiment.
enum class experiment_state
{
    applying, ///< the arms' policies are being written to the configuration
    running,  ///< every pool is under the policy of its arm
    /// The experiment is over; the original policies are being restored in the configuration.
    restoring,
    ended
};

inline constexpr core::name_table<experiment_state, 4> experiment_state_names{{
    {experiment_state::applying, "applying"},
    {experiment_state::running, "running"},
    {experiment_state::restoring, "restoring"},
    {experiment_state::ended, "ended"},
}};

/// Why an experiment ended.
enum class end_reason
{
    none,
    completed, ///< the experiment ran for its whole duration
    stopped,   ///< an operator stopped the experiment
    endangered ///< a guard rail ended the experiment
};

inline constexpr core::name_table<end_reason, 4> end_reason_names{{
    {end_reason::none, "none"},
    {end_reason::completed, "completed"},
    {end_reason::stopped, "stopped"},
    {end_reason::endangered, "endangered"},
}};

/// One of the compared policies. All other arms are compared with the first arm.
struct arm
{
    std::string name;
    std::string policy;
};

/// Measurements of one pool.
struct pool_measurements
{
    std::int64_t observed_ms = 0; ///< total time covered by samples
    double buffer_host_hours = 0; ///< hosts kept empty as spare capacity, multiplied by hours
    double host_hours = 0;        ///< all hosts, multiplied by hours
    int rollouts = 0;             ///< waves finished in the pool
    double rollout_hours = 0;     ///< total duration of these waves
    std::int64_t host_moves = 0;
    std::int64_t job_moves = 0;
};

/// One pool of an experiment, with its arm and its measurements.
struct experiment_pool
{
    std::string pool;
    std::string arm;
    int block = 0; ///< pools of a block are similar in size; a block has one pool for each arm
    double size = 0;
    std::string policy_before; ///< policy chosen by operators when the experiment was applied
    /// Operators have chosen another policy since; the pool no longer counts.
    bool withdrawn = false;
    pool_measurements measured;
    /// Time for which the pool's budget has been used up without interruption.
    std::int64_t at_limit_ms = 0;
};

/// Limits at which an experiment ends automatically, to protect the budgets of its pools.
struct guard_rails
{
    /// Longest time for which a budget may be used up without interruption.
    std::int64_t max_at_limit_ms = 900000;
    int max_over_budget = 0;  ///< samples of any pool with more absent hosts than its budget
    int max_halted_waves = 0; ///< waves halted because hosts did not return
};

/// The stored document of one experiment.
struct experiment_document
{
    std::string id;
    std::vector<arm> arms;
    std::uint64_t seed = 0;
    std::int64_t duration_ms = 0;
    guard_rails guards;
    experiment_state state = experiment_state::applying;
    end_reason reason = end_reason::none;
    /// Version of the configuration to which the policies are applied.
    std::int64_t base_version = 0;
    std::vector<experiment_pool> pools;
    std::int64_t started_ms = 0; ///< Unix time; for display only
    std::int64_t ended_ms = 0;   ///< Unix time; for display only
    std::int64_t observed_ms = 0;
    int over_budget = 0;
    int halted_waves = 0;
    std::string last_sample;           ///< id of the newest sample counted
    std::vector<std::string> commands; ///< ids of the applied commands; used to detect repeats
    model::decision_record decision;
};

/// \return the pool of that name in the experiment, or nullptr.
experiment_pool* find_pool(experiment_document& d, const std::string& pool);
const experiment_pool* find_pool(const experiment_document& d, const std::string& pool);

/// \return the policy of the arm \p arm_name. The arm must exist.
const std::string& policy_of(const experiment_document& d, const std::string& arm_name);

} // namespace camphorhitch::experiment
