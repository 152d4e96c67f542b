/// \file
/// The platform: hosts that reboot and return, a live list, and workers that run tasks.
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

struct host
{
    std::string target; ///< address, or empty
    bool up = true;
    bool returns = true; ///< from its next reboot
    std::int64_t boot_count = 1;
    std::set<std::string> reboots; ///< commands done
};

class platform
{
public:
    platform(virtual_time& time, targets& served);
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    ports::platform port(process& from);
    void add_host(
        const std::string& id, const std::string& target, const jobs::resources& capacity);
    /// Brings a host back that would not come by itself.
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
