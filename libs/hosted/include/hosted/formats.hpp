/// \file
/// Formats of the entries that operators and runners write into the metadata store. They depend on
/// the hosting platform: the platform's adapter provides the functions, and nothing else in this
/// library depends on the formats.
#pragma once

#include "coordinator/fleet.hpp"
#include "coordinator/workspaces.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::hosted
{

/// A queue through which callers submit jobs.
struct queue
{
    std::string name;
    std::string host; ///< host name of the callers' requests; compared without case
    /// Prefix of the request path; the longest matching prefix determines the queue.
    std::string prefix;
    std::string pool; ///< pool whose hosts run the queue's jobs
    int priority = 0;
    int max_attempts = 1;
    double stretch = 1;
    core::millis slack{0};
    /// Only the platform's advice service can tell which hosts may run the queue's jobs.
    bool needs_advice = false;
    /// Calls need no key, and the jobs belong to no workspace.
    bool open_to_all = false;
};

/// Operators' settings of a pool of hosts.
struct pool_settings
{
    std::string name;
    bool standby = false; ///< the pool's hosts are off until they are moved to another pool
};

/// The operators' configuration of the fleet.
struct fleet_config
{
    std::int64_t version = 0;
    std::vector<queue> queues;
    std::vector<pool_settings> pools;
    /// Maximum size of the body of a caller's request.
    std::size_t max_body_bytes = std::size_t{1} << 18;
    /// Number of queues, pools and workspaces that could not be read; the others apply.
    int unreadable_entries = 0;
    /// The configuration lists workspaces, so calls need a key.
    bool requires_keys = false;
    std::vector<coordinator::workspace_settings> workspaces;
    /// By key: index in workspaces. A key of two workspaces is left out.
    std::unordered_map<std::string, std::size_t> workspace_of_key;
    /// What is wrong with single workspaces, which apply as far as they can; never contains a key.
    std::vector<std::string> findings;
};

/// Whether a call may use a queue.
enum class call_permission
{
    allowed,
    key_missing,
    key_unknown
};

inline constexpr core::name_table<call_permission, 3> call_permission_names{{
    {call_permission::allowed, "allowed"},
    {call_permission::key_missing, "key_missing"},
    {call_permission::key_unknown, "key_unknown"},
}};

/// A permission, and the workspace on whose behalf the call is made.
struct call_judgement
{
    call_permission permission = call_permission::allowed;
    /// Empty: none, so that jobs of workspaces are hidden from the caller. Nothing: keys are not in
    /// use, and all jobs are visible.
    std::optional<std::string> workspace;
};

/// A requested maintenance wave: a set of machines that are due for maintenance.
struct wave_request
{
    std::int64_t number = 0;
    std::vector<std::string> machines;
    /// Time from the appearance of the request until the wave is due to end.
    core::millis duration{0};
    int max_at_once = 1;
};

/// State of a maintenance wave as reported to the operators.
enum class wave_state
{
    running,
    completed
};

/// Keys of the platform's entries, and the functions that read and write their texts.
struct formats
{
    std::string operator_prefix; ///< prefix of the configuration and the waves
    std::string config_key;
    std::string wave_prefix;
    std::string runner_prefix; ///< the runner's id follows
    std::function<std::string(std::int64_t wave)> wave_status_key;
    std::function<core::result<fleet_config>(const std::string& text)> read_config;
    std::function<core::result<wave_request>(const std::string& text)> read_wave;
    std::function<core::result<coordinator::host_listing>(
        const std::string& id, const std::string& text)>
        read_runner;
    std::function<std::string(wave_state)> write_wave_status;
    /// \return the reason why a job id is not valid, or an empty string.
    std::function<std::string(const std::string& id)> check_job_id;
};

/// \return the queue for a request to \p host and \p path, or nullptr.
const queue* find_queue(
    const fleet_config& config, const std::string& host, const std::string& path);

/// \return the queue with that name, or nullptr.
const queue* find_queue_named(const fleet_config& config, const std::string& name);

/// A call to a queue that is open to all is made on behalf of the workspace of its key, if the key
/// is known.
/// \param key the caller's key, or nullptr when the call has none
call_judgement judge_call(const fleet_config& config, const queue& q, const std::string* key);

/// Sets the fields of a job that are determined by its queue, and the time of its acceptance.
void apply_queue_settings(workflow::job& j, const queue& q, std::int64_t accepted_unix_ms);

} // namespace camphorhitch::hosted
