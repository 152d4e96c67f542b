/// \file
/// Follows the platform's list of machines and orders moves of machines between pools.
#pragma once

#include "coordinator/rebalance.hpp"
#include "refused_work_reader.hpp"
#include "term.hpp"

#include <memory>
#include <string_view>

namespace camphorhitch::hosted
{

class machine_controller
{
public:
    explicit machine_controller(term& t);
    machine_controller(const machine_controller&) = delete;
    machine_controller& operator=(const machine_controller&) = delete;

    /// Sets the metrics of the pools and of the shares to 0, because another node
    /// coordinates.
    ~machine_controller();

    /// Reads the list, and again at the intervals of the settings.
    /// \param on_list called after each successful read
    /// \param has_open_wave whether a wave is open, so that the list is to be read frequently
    void start(std::function<void()> on_list, std::function<bool()> has_open_wave);

    void set_pools(const std::vector<pool_settings>& pools);

    /// Counts the demand of a job that was accepted \p at. To be called in the order of acceptance.
    void record_job(const workflow::job& j, core::mono_time at);

    /// Continues after a time without a coordinator that plans. Callers may have been turned away
    /// in that time, so the demand counts as unchanged since its begin. A new coordinator calls
    /// this once it has read the jobs that arrived in between.
    void resume();

    /// \return the record of the demand and of the run time estimates for a successor.
    std::string demand_record() const;

    /// Applies the previous coordinator's record; a damaged record changes nothing.
    void restore_demand(const ports::stored_item& record);

    /// Sets the gauges of what workspaces, queues and zones have used of their shares.
    void report_shares() const;

    /// Plans and orders moves.
    /// \param held_machines machines that a wave has closed or taken down
    void plan(const std::set<std::string>& held_machines);

    coordinator::machine_table& table()
    {
        return table_;
    }

private:
    void read_list();
    void schedule_read(core::mono_time last);
    bool needs_frequent_reads() const;
    void handle_list(core::mono_time sent_at, const ports::machine_list& list);
    void record_plan();
    void record_refused(const std::string& pool, double core_seconds);
    /// Reports the needs of the pools as a metric, twice a second.
    void publish_needs();
    void restore_shares(const ports::stored_item& record);
    void publish_share(std::string_view level, const std::string& name, double used) const;
    void report_hosts();
    void send_move(const coordinator::move_action& a);

    term& term_;
    coordinator::machine_table table_;
    coordinator::rebalancer moves_;
    coordinator::demand demand_;
    core::mono_time last_planned_at_;
    core::mono_time needs_published_at_;
    ports::revision inherited_through_ = 0; ///< the inherited record covers jobs up to here
    ports::revision counted_through_ = 0;   ///< acceptance of the newest job that is counted
    std::vector<coordinator::pool_info> pools_;
    std::map<std::string, coordinator::pool_hosts> reported_hosts_; ///< by pool
    std::function<void()> on_list_;
    std::function<bool()> has_open_wave_;
    std::unique_ptr<refused_work_reader> refused_; ///< null: no node refuses work by the forecast
};

} // namespace camphorhitch::hosted
