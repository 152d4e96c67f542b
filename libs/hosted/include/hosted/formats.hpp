/// \file
/// Formats of the entries that operators and runners write into the metadata store. They depend on
/// the hosting platform: the platform's adapter provides the functions, and nothing else in this
/// library depends on the formats.
#pragma once

#include "coordinator/fleet.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
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
    /// Number of queues and pools that could not be read; the others apply.
    int unreadable_entries = 0;
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

/// Sets the fields of a job that are determined by its queue, and the time of its acceptance.
void apply_queue_settings(workflow::job& j, const queue& q, std::int64_t accepted_unix_ms);

} // namespace camphorhitch::hosted
