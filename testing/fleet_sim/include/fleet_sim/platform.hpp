/// \file
/// The platform's hosts: reboots by command, failures, work in flight, and a live list that lags.
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

/// What the live list said of a host from one moment on.
struct live_change
{
    std::int64_t at_ms = 0;
    ports::live_host entry;
};

struct sim_host
{
    std::string id;
    std::string zone;
    std::string rack;
    bool up = true;
    bool leaving = false;
    bool returns = true; ///< from its next reboot
    std::int64_t boot_count = 1;
    std::optional<std::int64_t> up_at_ms;
    std::vector<std::int64_t> requests; ///< ends of those in flight, ms
    std::vector<std::int64_t> jobs;     ///< ends of those running, ms
    std::set<std::string> reboots;      ///< commands done
    std::vector<live_change> history;
};

struct sim_platform
{
    std::map<std::string, sim_host> hosts;
    std::int64_t now_ms = 0;
    std::int64_t lag_ms = 3000;
    std::int64_t reboot_ms = 300000;
    std::int64_t cut_off = 0; ///< requests and jobs that a planned reboot cut off: must stay 0
    /// Called when a reboot begins that was ordered under a new command.
    std::function<void(const sim_host&, const std::string& command)> on_reboot;
};

void add_host(sim_platform& p, std::string id, std::string zone, std::string rack);

/// Does \p command once, however often it is ordered.
void reboot(sim_platform& p, const std::string& host, const std::string& command);

/// The host is gone at once, with all that runs on it. \param back_after_ms 0: until repair().
void crash(sim_platform& p, const std::string& host, std::int64_t back_after_ms);

/// Brings a host back that would not come by itself.
void repair(sim_platform& p, const std::string& host);

void set_leaving(sim_platform& p, const std::string& host, bool leaving);

/// Lets time pass: hosts come back, requests and jobs end.
void advance(sim_platform& p, std::int64_t ms);

/// \return the list as it was lag_ms ago.
ports::live_list live_list(const sim_platform& p);

} // namespace camphorhitch::fleet_sim
