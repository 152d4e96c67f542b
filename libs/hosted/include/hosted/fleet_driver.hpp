/// \file
/// Drives the coordinator's decisions while this node owns the fleet's work: reads jobs and hosts,
/// polls runners, sends orders, stores progress, runs maintenance waves.
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
#include <vector>

namespace camphorhitch::hosted
{

struct driver_settings
{
    coordinator::coordinator_settings rules;
    coordinator::wave_settings waves;
    coordinator::throttling_settings paces;
    coordinator::demand_settings demand;
    coordinator::rebalance_settings rebalance;
    bool moves = true;                 ///< false: hosts stay in their pools
    bool hands_over = true;            ///< when slowed or overloaded
    bool repeats_calls = true;         ///< to runners, while the answer is overdue
    bool sends_paces = true;           ///< to runners, for tasks that fill
    core::millis plan_delay{4};        ///< gathers what arrives together into one plan
    core::millis plan_every{100};      ///< also without a cause: leases lapse, stops repeat
    core::millis hosts_plan_every{40}; ///< waves and moves: they look at every job and host
    /// Least pause between two looks at all hosts, for each of them.
    core::micros look_pause_each{20};
    core::millis job_pause{12}; ///< between two watches of new jobs
    /// Longest wait of such a watch. Its answer tells up to which store revision jobs are known,
    /// and with that how old a count is. With pending_every this stays well below the 2 s allowed.
    core::millis job_wait{700};
    core::millis poll_wait{700};          ///< longest wait of a poll for an end
    core::millis longest_poll_wait{1400}; ///< the same in a fleet of many hosts
    core::millis poll_gap{30};            ///< after ends came: gathers the next ones
    /// Polls a second over all runners, at most; with many runners the gap grows instead. A poll
    /// costs 0.15 ms of processor time, and the coordinator's host may have a quarter of a core.
    double most_polls_per_second = 4000;
    /// Polls a second of hosts that run nothing, over all of them; with more hosts each rests for a
    /// while between two.
    double most_idle_polls_per_second = 2000;
    /// A host that was not heard for a lease's time gets no task: this rest, the longest wait and
    /// the answer's way fit into 2,500 ms.
    core::millis longest_idle_gap{800};
    /// Renewals of a former owner's leases while the jobs are read: several within one lease.
    core::millis bridge_every{500};
    core::millis poll_retry{150}; ///< after a poll that failed
    /// Longest wait of a watch of the list of runners; bounds how long a watch that went silent
    /// stays unnoticed, well below the time in which a runner that drains may be given work.
    core::millis hosts_wait{1000};
    core::millis hosts_pause{60};         ///< between two such watches: gathers what runners write
    core::millis hosts_judged_every{450}; ///< looks at which are silent or have lapsed
    core::millis machines_every{500};     ///< reads of the list of machines while a wave runs
    core::millis machines_idle{2000};     ///< otherwise
    core::millis store_delay{8};          ///< gathers progress into one write
    core::millis store_retry{100};        ///< after a write that failed
    core::millis pending_every{500};      ///< counts of waiting jobs
    /// The same while nothing waits and nothing changes. What was accepted since an old record is
    /// read from the store's history, which reaches some 20 s back.
    core::millis pending_idle{5000};
    core::millis tidy_every{5000}; ///< removals of states that nobody can ask for
    double processor_share = 0;    ///< of a core that this node may use; 0: not known
    /// After its end a job's state is told for so long, and a repeat of its acceptance meets it.
    core::millis keep_finished{150000};
};

struct driver_parts;

class fleet_driver
{
public:
    fleet_driver(context c, const formats& spelling, driver_settings s, leadership& lead);
    fleet_driver(const fleet_driver&) = delete;
    fleet_driver& operator=(const fleet_driver&) = delete;
    ~fleet_driver();

    /// This node owns the work from now on.
    void begin(std::int64_t term, ports::revision token);

    /// Ownership is lost; nothing is sent any more.
    void end();

    /// The waves that the operators asked for, all of them.
    void set_waves(std::vector<wave_request> all);

    /// The pools of the configuration in force.
    void set_pools(std::vector<pool_settings> all);

    bool is_running() const;

    /// \return why a job is where it is, as coordinator::explain_job; empty while this node doesn't
    /// hold the lease to decide.
    std::vector<std::string> explain_job(const std::string& id) const;

private:
    context ctx_;
    const formats& spelling_;
    driver_settings settings_;
    leadership& lead_;
    std::vector<wave_request> waves_;
    std::vector<pool_settings> pools_;
    std::unique_ptr<driver_parts> parts_;
};

} // namespace camphorhitch::hosted
