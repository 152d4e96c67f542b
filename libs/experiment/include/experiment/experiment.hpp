/// \file
/// An experiment: pools under different policies, and what was measured of each.
#pragma once

#include "core/names.hpp"
#include "model/fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::experiment
{

enum class experiment_state
{
    applying,  ///< the configuration is about to name the arms' policies, or does already
    running,   ///< every pool is under its arm's policy
    restoring, ///< over; the configuration is about to get its own policies back
    ended
};

inline constexpr core::name_table<experiment_state, 4> experiment_state_names{{
    {experiment_state::applying, "applying"},
    {experiment_state::running, "running"},
    {experiment_state::restoring, "restoring"},
    {experiment_state::ended, "ended"},
}};

enum class end_cause
{
    none,
    completed, ///< its time is over
    stopped,   ///< by an operator
    endangered ///< by a guard rail
};

inline constexpr core::name_table<end_cause, 4> end_cause_names{{
    {end_cause::none, "none"},
    {end_cause::completed, "completed"},
    {end_cause::stopped, "stopped"},
    {end_cause::endangered, "endangered"},
}};

/// One policy under comparison. The first arm is what the others are compared with.
struct arm
{
    std::string name;
    std::string policy;
};

/// What was measured of one pool.
struct totals
{
    std::int64_t observed_ms = 0; ///< time that samples cover
    double buffer_host_hours = 0; ///< hosts held back, times hours
    double host_hours = 0;        ///< all hosts, times hours
    int rollouts = 0;             ///< waves finished in the pool
    double rollout_hours = 0;     ///< their times together
    std::int64_t host_moves = 0;
    std::int64_t job_moves = 0;
};

struct pool_record
{
    std::string pool;
    std::string arm;
    int block = 0; ///< pools of one block resemble each other in size, one for each arm
    double size = 0;
    std::string policy_before; ///< as chosen by operators when the experiment was applied
    bool withdrawn = false;    ///< operators chose another policy meanwhile; counts no more
    totals sum;
    std::int64_t at_limit_ms = 0; ///< time without a break that its budget has been used up
};

/// When an experiment ends by itself to protect a budget.
struct guard_rails
{
    std::int64_t most_at_limit_ms = 900000; ///< a budget used up for so long without a break
    int most_over_budget = 0;  ///< samples of any pool with more hosts absent than its budget
    int most_halted_waves = 0; ///< waves halted because hosts did not come back
};

/// One experiment's document.
struct experiment_document
{
    std::string id;
    std::vector<arm> arms;
    std::uint64_t seed = 0;
    std::int64_t duration_ms = 0;
    guard_rails guards;
    experiment_state state = experiment_state::applying;
    end_cause cause = end_cause::none;
    std::int64_t base_version = 0; ///< configuration that the policies are applied upon
    std::vector<pool_record> pools;
    std::int64_t started_ms = 0; ///< for people
    std::int64_t ended_ms = 0;   ///< for people
    std::int64_t observed_ms = 0;
    int over_budget = 0;
    int halted_waves = 0;
    std::string last_sample;           ///< id of the newest sample counted
    std::vector<std::string> commands; ///< ids of the commands applied, for repeats
    model::decision_record why;
};

pool_record* find_pool(experiment_document& d, const std::string& pool);
const pool_record* find_pool(const experiment_document& d, const std::string& pool);

/// \return the policy of an arm.
const std::string& policy_of(const experiment_document& d, const std::string& arm_name);

} // namespace camphorhitch::experiment
