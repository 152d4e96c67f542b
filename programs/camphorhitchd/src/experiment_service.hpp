/// \file
/// Runs the experiments that this member owns: writes their next step and records their samples.
#pragma once

#include "context.hpp"
#include "experiment/lifecycle.hpp"
#include "fleet_service.hpp"
#include "job_service.hpp"
#include "language/table.hpp"
#include "membership_service.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorhitch::daemon
{

/// Experiments of the fleet: starts, stops and lists them, and runs those that this member owns.
class experiment_service
{
public:
    experiment_service(
        context& c, membership_service& members, fleet_service& fleet, job_service& jobs);

    /// Starts the periodic decision rounds.
    void start();
    /// Applies a changed document under experiments/; other keys are ignored.
    void on_document(const ports::kv_entry& entry);

    /// Starts an experiment. A repeat of its command takes effect once.
    /// \param done receives a message for operators, or the error.
    void start_experiment(const experiment::start_request& request,
        std::function<void(core::result<std::string>)> done);
    /// Ends an experiment early.
    /// \param command id of the command; a repeated command takes effect once.
    void stop_experiment(const std::string& id,
        const std::string& command,
        std::function<void(core::result<core::done>)> done);

    /// \return the experiment, or nullptr.
    const experiment::experiment_document* find(const std::string& id) const;
    /// \return the report as text, or nothing for an unknown experiment.
    std::optional<std::string> report(const std::string& id) const;
    /// \return the table of all experiments for `show experiments`.
    language::table make_table() const;

private:
    /// State of a pool at the previous sample, from which moves are counted.
    struct pool_history
    {
        std::map<std::string, std::int64_t> ownership; ///< ownership number by host id
        int job_moves = 0;
    };
    /// State between two samples of one experiment.
    struct sampling_state
    {
        core::mono_time last{}; ///< time of the last sample
        std::set<std::string> ended_waves;
        std::set<std::string> halted_waves;
        std::map<std::string, pool_history> pools;
        std::uint64_t number = 0; ///< number of the last sample
    };

    void run_round();
    void run_next_step(const experiment::experiment_document& d);
    void take_sample(const experiment::experiment_document& d);
    experiment::pool_sample make_pool_sample(const std::string& pool, sampling_state& s) const;
    void write(const std::string& key, const std::string& text, ports::revision expected);

    context& context_;
    membership_service& members_;
    fleet_service& fleet_;
    job_service& jobs_;
    std::map<std::string, experiment::experiment_document> documents_;
    std::map<std::string, sampling_state> sampling_states_;
    std::set<std::string> writes_in_flight_;
};

} // namespace camphorhitch::daemon
