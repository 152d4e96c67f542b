/// \file
/// A simulated platform: hosts that can reboot, a live list, and workers that run tasks.
#pragma once

#include "daemon_fakes/targets.hpp"
#include "daemon_fakes/virtual_time.hpp"
#include "job_fakes/workers.hpp"
#include "ports/platform.hpp"

#include <map>
#include <set>
#include <string>

namespace camphorhitch::daemon_fakes
{

/// State of one host.
struct host
{
    std::string target; ///< address of the host's target, or empty
    bool up = true;
    bool returns = true; ///< whether the host comes up by itself after its next reboot
    std::int64_t boot_count = 1;
    std::set<std::string> reboots; ///< ids of the reboot commands that were executed
};

/// The hosts of the platform and their workers.
class platform
{
public:
    platform(virtual_time& time, targets& served);
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    ports::platform port(process& from);
    void add_host(
        const std::string& id, const std::string& target, const jobs::resources& capacity);
    /// Brings up a host that does not return by itself.
    void boot(const std::string& id);

    std::map<std::string, host> hosts;
    job_fakes::workers workers;
    core::millis reboot_time{8000};

private:
    ports::live_list list() const;
    void reboot(const std::string& id, const std::string& command);
    void pass();

    virtual_time& time_;
    targets& targets_;
};

} // namespace camphorhitch::daemon_fakes
