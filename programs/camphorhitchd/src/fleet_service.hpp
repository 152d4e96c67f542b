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

/// What the jobs' service adds to the fleet's decisions.
struct job_hooks
{
    /// \return tasks that may still run on the host, or nothing when this process can't tell.
    std::function<std::optional<int>(const std::string& pool, const std::string& host)> tasks_on;
    std::function<void(const std::string& pool, const std::string& host, core::millis time_left)>
        move_off;
};

class fleet_service
{
public:
    fleet_service(context& c, membership_service& members, permit_service& permits);

    void set_jobs(job_hooks hooks);
    void start();
    void on_config(const model::configuration& config);
    void on_roster();
    /// A document under pools/ or waves/ changed.
    void on_document(const ports::kv_entry& entry);

    const std::vector<fleet::pool_view>& pools() const;
    const std::vector<fleet::wave_view>& waves() const;
    const ports::live_list& live() const;
    const fleet::pool_view* find_pool(const std::string& pool) const;
    const model::configuration& config() const;

private:
    void take_pool(const ports::kv_entry& entry, const std::string& name);
    void take_wave(const ports::kv_entry& entry, const std::string& id);
    void read_live_list();
    void round();
    void decide(const fleet::pool_view& own);
    void decide(const fleet::wave_view& own);
    void act(const std::string& pool, const fleet::write_pool& it);
    void act(const std::string& pool, const fleet::order_reboot& it);
    void act(const std::string& pool, const fleet::stop_host& it);
    void act(const std::string& pool, const fleet::move_jobs_off& it);
    void act(const std::string& pool, const fleet::report_slow_drain& it);
    void write(const std::string& key, const std::string& text, ports::revision expected);
    std::vector<fleet::host_activity> activity_of(const fleet::pool_view& own) const;

    context& context_;
    membership_service& members_;
    permit_service& permits_;
    job_hooks jobs_;
    model::configuration config_;
    std::vector<fleet::pool_view> pools_;
    std::vector<fleet::wave_view> waves_;
    ports::live_list live_;
    std::map<std::string, fleet::pool_timers> memory_;
    std::set<std::string> writing_;   ///< keys with a write under way
    std::set<std::string> rebooting_; ///< commands under way
    bool reading_live_list_ = false;
};

} // namespace camphorhitch::daemon
