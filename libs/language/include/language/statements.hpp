/// \file
/// Statements of the operators' language, as plain structs.
#pragma once

#include "core/findings.hpp"
#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::language
{

/// Position in the text. All positions compare equal, so that the comparison of two statements
/// ignores where they stand.
struct position
{
    int line = 0;   ///< 1-based
    int column = 0; ///< 1-based, in bytes

    bool operator==(const position&) const
    {
        return true;
    }
};

/// Name of an object or of a field.
struct name
{
    std::string text;
    position at;

    bool operator==(const name&) const = default;
};

/// A value as written in the text. Its kind follows from the field with which it is compared, or
/// from the setting to which it is assigned.
struct value
{
    std::string text;
    position at;

    bool operator==(const value&) const = default;
};

enum class comparison
{
    equal,
    not_equal,
    less,
    less_or_equal,
    greater,
    greater_or_equal,
    contains
};

inline constexpr core::name_table<comparison, 7> comparison_names{{
    {comparison::equal, "="},
    {comparison::not_equal, "!="},
    {comparison::less, "<"},
    {comparison::less_or_equal, "<="},
    {comparison::greater, ">"},
    {comparison::greater_or_equal, ">="},
    {comparison::contains, "~"},
}};

/// A condition on one field of a row, for example `slots >= 8`.
struct condition
{
    name field;
    comparison op = comparison::equal;
    value operand;

    bool operator==(const condition&) const = default;
};

/// Conditions that must all hold.
using conditions = std::vector<condition>;

/// Tables that `show` can print.
enum class table_kind
{
    hosts,
    pools,
    waves,
    jobs,
    members,
    config,
    experiments,
    policies,
    teams
};

inline constexpr core::name_table<table_kind, 9> table_kind_names{{
    {table_kind::hosts, "hosts"},
    {table_kind::pools, "pools"},
    {table_kind::waves, "waves"},
    {table_kind::jobs, "jobs"},
    {table_kind::members, "members"},
    {table_kind::config, "config"},
    {table_kind::experiments, "experiments"},
    {table_kind::policies, "policies"},
    {table_kind::teams, "teams"},
}};

/// `order by id desc`
struct ordering
{
    name field;
    bool descending = false;

    bool operator==(const ordering&) const = default;
};

/// `show hosts where zone = z1 and state = serving order by id desc limit 10`
struct show_statement
{
    table_kind table = table_kind::hosts;
    conditions where;
    std::optional<ordering> order;
    std::optional<std::int64_t> limit; ///< maximum number of rows

    bool operator==(const show_statement&) const = default;
};

/// Kinds of object that `why` can explain.
enum class subject_kind
{
    host,
    job,
    request,
    wave,
    pool
};

inline constexpr core::name_table<subject_kind, 5> subject_kind_names{{
    {subject_kind::host, "host"},
    {subject_kind::job, "job"},
    {subject_kind::request, "request"},
    {subject_kind::wave, "wave"},
    {subject_kind::pool, "pool"},
}};

/// `why host h17`
struct why_statement
{
    subject_kind kind = subject_kind::host;
    name id;

    bool operator==(const why_statement&) const = default;
};

/// Kinds of object that have settings.
enum class setting_owner
{
    pool,
    policy,
    team,
    config
};

inline constexpr core::name_table<setting_owner, 4> setting_owner_names{{
    {setting_owner::pool, "pool"},
    {setting_owner::policy, "policy"},
    {setting_owner::team, "team"},
    {setting_owner::config, "config"},
}};

/// `budget.absent = 2`
struct assignment
{
    name field;
    value new_value;

    bool operator==(const assignment&) const = default;
};

/// `set pool quotes budget.absent = 2, policy = careful`
struct set_statement
{
    setting_owner owner = setting_owner::pool;
    name owner_name; ///< of the pool, policy or team; empty for the configuration
    std::vector<assignment> assignments;

    bool operator==(const set_statement&) const = default;
};

/// Groups of hosts that one statement can drain.
enum class drain_scope
{
    host,
    zone,
    rack,
    pool
};

inline constexpr core::name_table<drain_scope, 4> drain_scope_names{{
    {drain_scope::host, "host"},
    {drain_scope::zone, "zone"},
    {drain_scope::rack, "rack"},
    {drain_scope::pool, "pool"},
}};

/// `drain zone z1 wave spring policy careful`, or `drain host h17 for leaving`
struct drain_statement
{
    drain_scope scope = drain_scope::host;
    name scope_name;
    bool leaving = false;       ///< the platform takes the hosts away, so no wave is started
    std::optional<name> wave;   ///< id of the wave to start; absent: chosen by the daemon
    std::optional<name> policy; ///< policy of the wave

    bool operator==(const drain_statement&) const = default;
};

/// `move host h17 to pool holds`
struct move_statement
{
    name host;
    name pool;

    bool operator==(const move_statement&) const = default;
};

/// `start wave spring where rack = r4 policy careful`
struct start_wave_statement
{
    name id;
    conditions where;
    std::optional<name> policy;

    bool operator==(const start_wave_statement&) const = default;
};

/// `a=careful`: an arm and its policy.
struct experiment_arm
{
    name arm;
    name policy;

    bool operator==(const experiment_arm&) const = default;
};

/// `start experiment e1 arms a=careful,b=fast on pool quotes,holds for 14d seed 7`
struct start_experiment_statement
{
    name id;
    std::vector<experiment_arm> arms;
    std::vector<name> pools;
    std::optional<core::millis> duration;
    std::optional<std::int64_t> seed;

    bool operator==(const start_experiment_statement&) const = default;
};

/// `stop experiment e1`
struct stop_experiment_statement
{
    name id;

    bool operator==(const stop_experiment_statement&) const = default;
};

/// `cancel wave spring`
struct cancel_wave_statement
{
    name id;

    bool operator==(const cancel_wave_statement&) const = default;
};

/// `resume wave spring`
struct resume_wave_statement
{
    name id;

    bool operator==(const resume_wave_statement&) const = default;
};

/// `cancel job j5`
struct cancel_job_statement
{
    name id;

    bool operator==(const cancel_job_statement&) const = default;
};

/// `cancel jobs where team = prints`
struct cancel_jobs_statement
{
    conditions where; ///< never empty

    bool operator==(const cancel_jobs_statement&) const = default;
};

/// `submit job {"id": "j5", ...}`
struct submit_job_statement
{
    std::string json; ///< one well-formed JSON object
    position at;      ///< position of the opening brace

    bool operator==(const submit_job_statement&) const = default;
};

using statement = std::variant<show_statement,
    why_statement,
    set_statement,
    drain_statement,
    move_statement,
    start_wave_statement,
    start_experiment_statement,
    stop_experiment_statement,
    cancel_wave_statement,
    resume_wave_statement,
    cancel_job_statement,
    cancel_jobs_statement,
    submit_job_statement>;

/// \return the statement in its canonical form, which parses to an equal statement.
std::string to_text(const statement& s);

/// \return whether the statement only reads state.
bool is_query(const statement& s);

/// \return \p text in the form in which a statement must contain it: in quotes when it contains a
/// character that a word cannot contain, and unchanged otherwise.
std::string quoted_if_needed(const std::string& text);

} // namespace camphorhitch::language
