/// \file
/// Runs the decisions on pools and waves that this member owns, and keeps the fleet's documents.
#pragma once

#include "context.hpp"
#include "fleet/pool_decider.hpp"
#include "fleet/wave_decider.hpp"
#include "membership_service.hpp"
#include "model/config.hpp"
#include "permit_service.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Functions through which the fleet's decisions use the job service.
struct job_hooks
{
    /// \return the number of tasks that may still run on the host, or nothing when this process has
    /// no complete count.
    std::function<std::optional<int>(const std::string& pool, const std::string& host)> tasks_on;
    /// Requests that the host's tasks are moved to other hosts within \p time_left.
    std::function<void(const std::string& pool, const std::string& host, core::millis time_left)>
        move_off;
};

/// Pools and waves of the fleet: keeps their documents and the live list, and runs the decisions on
/// those that this member owns.
class fleet_service
{
public:
    fleet_service(context& c, membership_service& members, permit_service& permits);

    /// Sets the functions of the job service; called once, before start().
    void set_job_hooks(job_hooks hooks);
    /// Starts the periodic decision rounds and reads of the live list.
    void start();
    /// Applies a newly adopted configuration.
    void on_config(const model::configuration& config);
    /// Discards the timers of pools that this member no longer owns.
    void on_roster();
    /// Applies a changed document under pools/ or waves/; other keys are ignored.
    void on_document(const ports::kv_entry& entry);

    /// \return all pools, including configured pools without a document.
    const std::vector<fleet::pool_view>& pools() const;
    /// \return all waves.
    const std::vector<fleet::wave_view>& waves() const;
    /// \return the last live list that could be read.
    const ports::live_list& live() const;
    /// \return the pool, or nullptr.
    const fleet::pool_view* find_pool(const std::string& pool) const;
    /// \return the configuration in force.
    const model::configuration& config() const;

private:
    void apply_pool_document(const ports::kv_entry& entry, const std::string& name);
    void apply_wave_document(const ports::kv_entry& entry, const std::string& id);
    void read_live_list();
    void run_round();
    void decide(const fleet::pool_view& own);
    void decide(const fleet::wave_view& own);
    void execute(const std::string& pool, const fleet::write_pool& it);
    void execute(const std::string& pool, const fleet::order_reboot& it);
    void execute(const std::string& pool, const fleet::stop_host& it);
    void execute(const std::string& pool, const fleet::move_jobs_off& it);
    void execute(const std::string& pool, const fleet::report_slow_drain& it);
    void write(const std::string& key, const std::string& text, ports::revision expected);
    std::vector<fleet::host_activity> make_host_activities(const fleet::pool_view& own) const;

    context& context_;
    membership_service& members_;
    permit_service& permits_;
    job_hooks job_hooks_;
    model::configuration config_;
    std::vector<fleet::pool_view> pools_;
    std::vector<fleet::wave_view> waves_;
    ports::live_list live_;
    std::map<std::string, fleet::pool_timers> pool_timers_;
    std::set<std::string> writes_in_flight_;  ///< keys with a write in flight
    std::set<std::string> reboots_in_flight_; ///< commands whose reboot request is in flight
    bool reading_live_list_ = false;
};

} // namespace camphorhitch::daemon
