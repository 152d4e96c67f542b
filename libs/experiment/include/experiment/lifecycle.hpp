/// \file
/// Starts, runs and ends an experiment. This involves two documents that can't be written in one
/// transaction: the experiment's document and the configuration.
///
/// The order of the writes is: the experiment's document in state `applying`, the configuration
/// with the arms' policies, the experiment's document in state `running`; and at the end the
/// experiment's document in state `restoring`, the restored configuration, the experiment's
/// document in state `ended`. The configuration itself marks a pool that is under an experiment's
/// policy, together with the policy before the experiment. An operator's change of the pool's
/// policy removes the mark.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"
#include "experiment/experiment.hpp"
#include "model/config.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::experiment
{

/// An operator's request to start an experiment.
struct start_request
{
    std::string id;
    std::string command;
    std::vector<arm> arms;
    std::vector<std::string> pools;
    std::uint64_t seed = 0;
    core::millis duration{0};
    guard_rails guards;
};

/// \param hosts number of hosts by pool; a pool's configured size_class takes precedence.
/// \return the new document, or everything that is wrong with the request.
std::variant<experiment_document, core::findings> start(const start_request& request,
    const model::configuration& c,
    const std::map<std::string, int>& hosts,
    core::wall_time now);

/// Assigns pools to arms at random, within blocks of pools of similar size. The result depends on
/// the arguments only.
/// \return records in the order of their size; pools that don't fill a whole block are left out.
std::vector<experiment_pool> assign_pools(
    std::vector<experiment_pool> pools, const std::vector<arm>& arms, std::uint64_t seed);

/// The next write of an experiment.
struct write_configuration
{
    /// Its version is one above the version that the decision is based on.
    model::configuration next;
};
struct write_experiment
{
    experiment_document next;
};
using next_write = std::variant<std::monostate, write_configuration, write_experiment>;

/// \return the next write. It must be conditional on the revisions at which both documents were
///   read.
next_write next_step(
    const experiment_document& d, const model::configuration& c, core::wall_time now);

/// Ends a running experiment. A repeated command, or an experiment that has already ended for
/// another reason, changes nothing.
bool stop(experiment_document& d, const std::string& command, core::wall_time now);

/// Observations of one pool since the last sample.
struct pool_sample
{
    std::string pool;
    int hosts = 0;
    int spare_hosts = 0; ///< hosts kept empty as spare capacity for the pool
    int absent = 0;
    int absent_budget = 0;
    bool zone_at_limit = false;    ///< the budget of at least one zone is used up
    bool zone_over_budget = false; ///< at least one zone has more absent hosts than its budget
    int halted_waves = 0;          ///< waves halted since the last sample
    /// Durations of the waves that finished since the last sample, in hours.
    std::vector<double> rollouts;
    int host_moves = 0;
    int job_moves = 0;
};

/// Observations of all pools of an experiment.
struct sample
{
    std::string id; ///< unique; a repeated sample is not counted again
    /// Time covered by the sample, on the monotonic clock of the member that took it.
    core::millis elapsed{0};
    std::vector<pool_sample> pools;
};

/// Counts a sample. May end the experiment when its duration is over or a guard rail is violated.
bool add_sample(experiment_document& d, const sample& s, core::wall_time now);

} // namespace camphorhitch::experiment
