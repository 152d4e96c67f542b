/// \file
/// All targets of one process and their control interface.
#pragma once

#include "target.hpp"

#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::standin_target
{

struct service_settings
{
    std::size_t count = 1;
    std::string prefix = "h";     ///< hosts are <prefix>1, <prefix>2, ...
    std::uint16_t first_port = 0; ///< 0: free ones
    int slots = 8;
    core::millis delay{5};
};

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

    run_ledger ledger_;
    std::vector<std::unique_ptr<target>> targets_;
    standin_support::listener* control_port_ = nullptr;
};

} // namespace camphorhitch::standin_target
