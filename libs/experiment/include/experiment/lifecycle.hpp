/// \file
/// Start, run and end of an experiment, over two documents that can't be written at once: its own
/// and the configuration.
///
/// The order is: own document `applying`, configuration with the arms' policies, own document
/// `running`; and at the end own document `restoring`, configuration restored, own document
/// `ended`. A pool under an experiment's policy says so in the configuration itself, with the
/// policy before, and an operator's change of its policy takes that mark away.
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

/// \param hosts number of hosts by pool; a pool's configured size_class goes before it.
/// \return the new document, or everything wrong with the request.
std::variant<experiment_document, core::findings> start(const start_request& request,
    const model::configuration& c,
    const std::map<std::string, int>& hosts,
    core::wall_time now);

/// Deals pools to arms at random, within blocks of like size. The same in every run.
/// \return records in the order of their size; pools that fill no whole block are left out.
std::vector<pool_record> assign(
    std::vector<pool_record> pools, const std::vector<arm>& arms, std::uint64_t seed);

/// What to write next.
struct write_configuration
{
    model::configuration next; ///< its version is one above the one it was decided from
};
struct write_experiment
{
    experiment_document next;
};
using next_write = std::variant<std::monostate, write_configuration, write_experiment>;

/// \return the next write, conditional on the very revisions that both documents were read at.
next_write next_step(
    const experiment_document& d, const model::configuration& c, core::wall_time now);

/// Ends a running experiment. A repeat of the command, or an end by another cause, changes nothing.
/// \return whether the document changed.
bool stop(experiment_document& d, const std::string& command, core::wall_time now);

/// One pool since the last sample.
struct pool_sample
{
    std::string pool;
    int hosts = 0;
    int held_back = 0; ///< hosts kept empty as spare capacity for it
    int absent = 0;
    int absent_budget = 0;
    bool zone_at_limit = false;   ///< some zone's budget is used up
    bool zone_over = false;       ///< some zone has more absent than its budget
    int halted_waves = 0;         ///< halted since the last sample
    std::vector<double> rollouts; ///< hours of the waves that finished since
    int host_moves = 0;
    int job_moves = 0;
};

struct sample
{
    std::string id;          ///< never used twice: a repeat is not counted again
    core::millis elapsed{0}; ///< covered by it, on the monotonic clock of whoever took it
    std::vector<pool_sample> pools;
};

/// Counts a sample. May end the experiment, by its time or by a guard rail.
/// \return whether the document changed.
bool add_sample(experiment_document& d, const sample& s, core::wall_time now);

} // namespace camphorhitch::experiment
