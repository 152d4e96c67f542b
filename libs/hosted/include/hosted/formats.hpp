/// \file
/// What operators and runners write into the metadata store, as the hosting platform spells it.
/// The adapter of a platform fills this in; nothing else here knows its spelling.
#pragma once

#include "coordinator/fleet.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

/// A queue by which callers submit jobs.
struct queue
{
    std::string name;
    std::string host;   ///< of the callers' requests; without case
    std::string prefix; ///< of the path; the longest that fits decides
    std::string pool;   ///< whose hosts run the queue's jobs
    int priority = 0;
    int max_attempts = 1;
    double stretch = 1;
    core::millis slack{0};
    bool needs_advice = false; ///< only the platform's advice knows which hosts may run its jobs
};

struct pool_settings
{
    std::string name;
    bool standby = false; ///< its hosts are off until they are moved elsewhere
};

/// The operators' configuration of a fleet.
struct fleet_config
{
    std::int64_t version = 0;
    std::vector<queue> queues;
    std::vector<pool_settings> pools;
    std::size_t largest_body = std::size_t{1} << 18; ///< bytes of a caller's request
    int left_out = 0; ///< queues and pools that could not be read; the others hold
};

/// Hosts that are due for maintenance.
struct wave_request
{
    std::int64_t number = 0;
    std::vector<std::string> machines;
    core::millis duration{0}; ///< from the request's appearance to its due end
    int most_at_once = 1;
};

enum class wave_state
{
    running,
    completed
};

struct formats
{
    std::string operator_prefix; ///< holds the configuration and the waves
    std::string config_key;
    std::string wave_prefix;
    std::string runner_prefix; ///< a runner's id follows
    std::function<std::string(std::int64_t wave)> wave_status_key;
    std::function<core::result<fleet_config>(const std::string& text)> read_config;
    std::function<core::result<wave_request>(const std::string& text)> read_wave;
    std::function<core::result<coordinator::host_listing>(
        const std::string& id, const std::string& text)>
        read_runner;
    std::function<std::string(wave_state)> write_wave_status;
    /// \return what is wrong with a job's id, or nothing.
    std::function<std::string(const std::string& id)> check_job_id;
};

/// \return the queue of a request, or nullptr.
const queue* find_queue(
    const fleet_config& config, const std::string& host, const std::string& path);

/// \return the queue of that name, or nullptr.
const queue* find_queue_named(const fleet_config& config, const std::string& name);

/// Fills in what a job gets from its queue.
void put_into_queue(workflow::job& j, const queue& q, std::int64_t accepted_unix_ms);

} // namespace camphorhitch::hosted
