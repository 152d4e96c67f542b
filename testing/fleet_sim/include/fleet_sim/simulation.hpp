/// \file
/// A simulation of members that share one store and one platform. Each member decides from the
/// documents that it read last.
#pragma once

#include "fleet/pool_decider.hpp"
#include "fleet/pool_events.hpp"
#include "fleet/wave_decider.hpp"
#include "fleet/wave_rules.hpp"
#include "fleet_sim/platform.hpp"
#include "fleet_sim/store.hpp"
#include "model/config.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::fleet_sim
{

/// A step that a member has decided on and not executed yet.
struct pending_step
{
    std::string pool; ///< pool that the step is for; empty for the step of a wave
    std::variant<fleet::pool_action, fleet::write_wave> what;
    std::shared_ptr<const model::configuration> config; ///< configuration of the decision
};

/// One entry host: the documents it read last, and the steps it has pending.
struct sim_member
{
    std::string id;
    std::shared_ptr<const model::configuration> config;
    std::vector<fleet::pool_view> pools;
    std::vector<fleet::wave_view> waves;
    std::int64_t as_of = 0;        ///< store revision of the last read; 0 before the first read
    std::int64_t epoch = 0;        ///< epoch that the member has adopted
    std::int64_t confirmed_ms = 0; ///< time of the last read of the roster
    std::map<std::string, fleet::pool_timers> timers;
    std::map<std::string, std::int64_t> taken_over_ms; ///< time of the takeover, by owned pool
    std::deque<pending_step> pending;
};

/// Timing of the simulated members. Milliseconds.
struct simulation_settings
{
    std::int64_t freshness_ms = 3000;    ///< age up to which a member's last read is valid
    std::int64_t margin_ms = 500;        ///< additional wait after a takeover
    std::int64_t max_request_ms = 60000; ///< maximum duration of a request
};

/// The simulated system: store, platform and members.
struct simulation
{
    store kv;
    sim_platform platform;
    model::configuration config;
    simulation_settings settings;
    std::vector<sim_member> members;
    std::int64_t epoch = 1;
    std::vector<std::string> roster;
    std::int64_t job_moves = 0;
    std::int64_t repeated_job_moves = 0; ///< moves of jobs that had moved before
    std::set<std::int64_t> moved_jobs;   ///< jobs that have moved, identified by their end time
    const model::configuration* writer_config = nullptr; ///< configuration of the current write
    std::vector<std::string> violations; ///< descriptions of broken promises; must stay empty
};

/// Installs the checks of the promises on writes of the store and reboots of the platform.
void install_promise_checks(simulation& sim);

/// Starts a new epoch with these members; each member adopts the epoch when it next reads.
void set_roster(simulation& sim, std::vector<std::string> members);

/// \return the member that owns \p key in the newest epoch; empty without a roster.
std::string owner_by_roster(const simulation& sim, const std::string& key);

/// Reads all documents and the roster. Does nothing while the store is down.
void refresh(simulation& sim, sim_member& m);

/// Reads the newest document of one pool only, as after a conflict; the other views keep their age.
void refresh_pool(simulation& sim, sim_member& m, const std::string& pool);

/// Decides for each pool and wave that \p m owns according to its own view.
void decide(simulation& sim, sim_member& m);

/// Executes the oldest pending steps of \p m, \p max_steps at most.
void execute_pending(simulation& sim, sim_member& m, std::size_t max_steps);

/// Runs one complete round of one member: read, decide, execute.
void run_round(simulation& sim, sim_member& m);

/// Executes an operator's request at \p m, from the documents that \p m read last.
/// \return whether the change was written.
bool request_change(
    simulation& sim, sim_member& m, const std::string& pool, const fleet::pool_event& e);

/// \return whether \p m may send to \p host according to its own view.
bool may_send(
    const simulation& sim, const sim_member& m, const std::string& pool, const std::string& host);

/// \return whether \p m has confirmed that no other member can send to hosts of \p pool any more,
/// and therefore has a record of all work in flight there.
bool is_certain(const simulation& sim, const sim_member& m, const std::string& pool);

} // namespace camphorhitch::fleet_sim
