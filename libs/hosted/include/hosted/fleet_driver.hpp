/// \file
/// Runs the coordinator while this node leads: reads jobs and hosts, polls runners, sends orders,
/// stores progress, runs maintenance waves.
#pragma once

#include "coordinator/demand.hpp"
#include "coordinator/fleet.hpp"
#include "coordinator/rebalance.hpp"
#include "coordinator/throttling.hpp"
#include "coordinator/waves.hpp"
#include "hosted/context.hpp"
#include "hosted/formats.hpp"
#include "hosted/leadership.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace camphorhitch::hosted
{

struct driver_settings
{
    coordinator::coordinator_settings rules; ///< settings of the coordinator's decisions
    coordinator::wave_settings waves;
    coordinator::throttling_settings throttling;
    coordinator::demand_settings demand;
    coordinator::rebalance_settings rebalance;
    bool moves_machines = true;           ///< false: each machine stays in its pool
    bool hands_over_when_behind = true;   ///< hands the lead over when slowed or overloaded
    bool repeats_overdue_calls = true;    ///< repeats calls to runners whose answer is overdue
    bool throttles_best_effort = true;    ///< sends throttle orders for best-effort tasks
    bool publishes_forecast = false;      ///< nodes reject jobs by the published forecast
    core::millis plan_delay{4};           ///< gathers events that arrive together into one plan
    core::millis plan_interval{100};      ///< plans without an event: leases expire, stops repeat
    core::millis host_plan_interval{40};  ///< waves and moves, which scan every job and host
    core::micros scan_delay_per_host{20}; ///< minimum time between two scans of all hosts, per host
    core::millis job_watch_interval{12};  ///< delay before the next watch of new jobs
    /// Maximum wait of one watch of new jobs. Its answer states up to which store revision all jobs
    /// have been read, and so how old a count of waiting jobs is. Together with
    /// pending_record_interval this stays well below the 2 s that a count may lag behind.
    core::millis job_watch_max_wait{700};
    core::millis poll_wait{700};      ///< time that a runner holds a poll open until a run ends
    core::millis max_poll_wait{1400}; ///< upper bound of poll_wait in a fleet of many hosts
    core::millis poll_gap{30};        ///< delay after a poll that reported ends: gathers the next
    /// Maximum polls per second over all runners; with more runners the delay between polls of one
    /// runner grows instead. A poll costs 0.15 ms of processor time, and the coordinator's host may
    /// have a quarter of a core.
    double max_polls_per_second = 4000;
    /// Maximum polls per second over all hosts that run nothing; with more such hosts, the
    /// coordinator waits between two polls of one of them.
    double max_idle_polls_per_second = 2000;
    /// A host that has not answered for the duration of a lease gets no task: this delay, the
    /// maximum poll wait and the answer's transit time together fit into 2,500 ms.
    core::millis max_idle_poll_delay{800};
    /// Interval at which inherited leases are renewed while the jobs are read: several renewals
    /// within one lease.
    core::millis takeover_renewal_interval{500};
    core::millis poll_retry_delay{150}; ///< after a poll that failed
    /// Maximum wait of one watch of the list of runners. It bounds how long a watch whose
    /// connection has failed silently goes undetected; this stays well below the time during which
    /// a draining runner may still be given work.
    core::millis runner_list_max_wait{1000};
    core::millis runner_list_interval{60}; ///< between two such watches: gathers runners' writes
    core::millis liveness_check_interval{450}; ///< checks for unresponsive hosts and expired leases
    core::millis machine_list_interval{500};   ///< reads of the list of machines during a wave
    core::millis idle_machine_list_interval{2000}; ///< reads of the list of machines otherwise
    core::millis store_write_delay{8};             ///< gathers progress into one write
    core::millis store_retry_delay{100};           ///< after a store call that failed
    core::millis pending_record_interval{500};     ///< writes of the counts of waiting jobs
    /// Interval of these writes while no job waits and no count changes. A reader of an old record
    /// adds the jobs accepted since then from the store's change log, which covers some 20 s.
    core::millis idle_pending_record_interval{5000};
    core::millis cleanup_interval{5000}; ///< removals of job states that can no longer be queried
    double processor_share = 0;          ///< of a core that this node may use; 0: not known
    double link_mbps = 0;                ///< speed of this node's link in Mbit/s; 0: not known
    /// Time after a job's end for which its state can be queried and a repeated submission of it is
    /// answered from that state.
    core::millis finished_job_retention{150000};
};

struct driver_parts;

class fleet_driver
{
public:
    fleet_driver(context c, const formats& text_formats, driver_settings s, leadership& lead);
    fleet_driver(const fleet_driver&) = delete;
    fleet_driver& operator=(const fleet_driver&) = delete;
    ~fleet_driver();

    /// Starts coordinating, as this node has become the leader.
    /// \param token fencing token of the term: the store revision at which it began
    void begin_term(std::int64_t term, ports::revision token);

    /// Stops coordinating after the lead is lost; no further order is sent.
    void end_term();

    /// Sets the maintenance waves.
    /// \param all every wave that the operators have requested
    void set_waves(std::vector<wave_request> all);

    /// Sets the pools of the configuration in force.
    void set_pools(std::vector<pool_settings> all);

    /// Sets the workspaces of the configuration in force. Before the first call no task of a
    /// workspace starts.
    void set_workspaces(std::vector<coordinator::workspace_settings> all);

    bool is_running() const;

    /// \return why the job is in its present state, as coordinator::explain_job; empty while this
    /// node does not hold the leader lease.
    std::vector<std::string> explain_job(const std::string& id) const;

private:
    context ctx_;
    const formats& text_formats_;
    driver_settings settings_;
    leadership& lead_;
    std::vector<wave_request> waves_;
    std::vector<pool_settings> pools_;
    /// Nothing before the first configuration.
    std::optional<std::vector<coordinator::workspace_settings>> workspaces_;
    std::unique_ptr<driver_parts> parts_;
};

} // namespace camphorhitch::hosted
