/// \file
/// All targets of one process and their control interface.
#pragma once

#include "target.hpp"

#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::standin_target
{

/// Settings of all targets.
struct service_settings
{
    std::size_t count = 1;
    std::string prefix = "h"; ///< hosts are <prefix>1, <prefix>2, ...
    /// Port of the first target; the others follow. 0: free ports are chosen.
    std::uint16_t first_port = 0;
    int slots = 8;
    core::millis delay{5}; ///< service time of requests that do not give one
};

/// The targets and their control port.
class service
{
public:
    service(standin_support::standin& s, const service_settings& settings);
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    standin_support::listener& control_port()
    {
        return *control_port_;
    }

    const std::vector<std::unique_ptr<target>>& targets() const
    {
        return targets_;
    }

private:
    std::vector<target*> selected(standin_support::object_reader& command);
    ports::http_response on_control(const ports::http_request& r);
    ports::http_response stats() const;
    ports::http_response on_runs(const ports::http_request& r) const;
    ports::http_response duplicates() const;

    run_log run_log_;
    std::vector<std::unique_ptr<target>> targets_;
    standin_support::listener* control_port_ = nullptr;
};

} // namespace camphorhitch::standin_target
