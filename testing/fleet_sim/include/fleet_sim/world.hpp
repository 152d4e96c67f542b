/// \file
/// Members that decide from the views they read last, over one store and one platform.
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

/// A step that a member decided on and has not carried out yet.
struct pending_step
{
    std::string pool; ///< empty for a wave's
    std::variant<fleet::pool_action, fleet::write_wave> what;
    std::shared_ptr<const model::configuration> config; ///< by which it was decided
};

/// One entry host: what it read last, and what it is about to do.
struct sim_member
{
    std::string id;
    std::shared_ptr<const model::configuration> config;
    std::vector<fleet::pool_view> pools;
    std::vector<fleet::wave_view> waves;
    std::int64_t as_of = 0; ///< store revision of the last read; 0: never read
    std::int64_t epoch = 0; ///< adopted
    std::int64_t confirmed_ms = 0;
    std::map<std::string, fleet::pool_timers> memory;
    std::map<std::string, std::int64_t> taken_over_ms; ///< by pool that it owns
    std::deque<pending_step> pending;
};

struct world_settings
{
    std::int64_t freshness_ms = 3000;
    std::int64_t margin_ms = 500;
    std::int64_t longest_request_ms = 60000;
};

struct world
{
    store kv;
    sim_platform platform;
    model::configuration config;
    world_settings settings;
    std::vector<sim_member> members;
    std::int64_t epoch = 1;
    std::vector<std::string> roster;
    std::int64_t job_moves = 0;
    std::int64_t job_moves_again = 0;                    ///< of jobs that had moved before
    std::set<std::int64_t> moved_jobs;                   ///< by their ends, which tell them apart
    const model::configuration* writer_config = nullptr; ///< by which the write was decided
    std::vector<std::string> violations; ///< promises that were broken; must stay empty
};

/// Puts the checks in place that watch the store and the platform.
void watch_promises(world& w);

/// Starts a new epoch with these members; each member adopts it when it reads.
void set_roster(world& w, std::vector<std::string> members);

/// \return the member that owns \p key in the newest epoch.
std::string owner_by_roster(const world& w, const std::string& key);

/// Reads every document and the roster; does nothing while the store is down.
void refresh(world& w, sim_member& m);

/// Takes in one pool's newest document alone, as after a conflict; the other views stay as they
/// are.
void refresh_one(world& w, sim_member& m, const std::string& pool);

/// Decides for each pool and wave that \p m takes itself to own.
void decide(world& w, sim_member& m);

/// Carries out the oldest \p most steps that \p m decided on.
void perform(world& w, sim_member& m, std::size_t most);

/// One whole round of one member: read, decide, carry out.
void run_round(world& w, sim_member& m);

/// An operator's wish, carried out by \p m from what it read last. \return whether it was written.
bool wish(world& w, sim_member& m, const std::string& pool, const fleet::pool_event& e);

/// \return whether \p m may send to \p host by what it knows.
bool may_send(
    const world& w, const sim_member& m, const std::string& pool, const std::string& host);

/// \return whether \p m knows that nobody else can send to hosts of \p pool, and all that is sent.
bool is_certain(const world& w, const sim_member& m, const std::string& pool);

} // namespace camphorhitch::fleet_sim
