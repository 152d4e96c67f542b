/// \file
/// The simulated platform's hosts: reboots by command, failures, work in flight, and a live list
/// that lags behind.
#pragma once

#include "ports/platform.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::fleet_sim
{

/// A host's entry in the live list, and the time from which it applies.
struct live_change
{
    std::int64_t at_ms = 0;
    ports::live_host entry;
};

/// One simulated host.
struct sim_host
{
    std::string id;
    std::string zone;
    std::string rack;
    bool up = true;
    bool leaving = false;
    bool returns = true; ///< whether the host comes up by itself after its next reboot
    std::int64_t boot_count = 1;
    std::optional<std::int64_t> up_at_ms; ///< time at which a host that is down comes up
    std::vector<std::int64_t> requests;   ///< end times of the requests in flight, ms
    std::vector<std::int64_t> jobs;       ///< end times of the running jobs, ms
    std::set<std::string> reboots;        ///< ids of the reboot commands that were executed
    std::vector<live_change> history;     ///< live list entries that can still be read
};

/// All hosts and the simulated time.
struct sim_platform
{
    std::map<std::string, sim_host> hosts;
    std::int64_t now_ms = 0;
    std::int64_t lag_ms = 3000;      ///< delay of the live list
    std::int64_t reboot_ms = 300000; ///< duration of a reboot
    std::int64_t cut_off = 0; ///< requests and jobs interrupted by planned reboots; must stay 0
    /// Called when a reboot with a new command begins.
    std::function<void(const sim_host&, const std::string& command)> on_reboot;
};

void add_host(sim_platform& p, std::string id, std::string zone, std::string rack);

/// Reboots the host. A \p command that was executed before has no effect.
void reboot(sim_platform& p, const std::string& host, const std::string& command);

/// Takes the host down at once, together with its requests and jobs.
/// \param back_after_ms time until the host comes up by itself; 0: it stays down until repair().
void crash(sim_platform& p, const std::string& host, std::int64_t back_after_ms);

/// Brings up a host that does not come up by itself.
void repair(sim_platform& p, const std::string& host);

void set_leaving(sim_platform& p, const std::string& host, bool leaving);

/// Advances the time: hosts come up, requests and jobs end.
void advance(sim_platform& p, std::int64_t ms);

/// \return the live list as of lag_ms ago.
ports::live_list live_list(const sim_platform& p);

} // namespace camphorhitch::fleet_sim
