/// \file
/// The workers' platform interface and their control port.
#pragma once

#include "fleet.hpp"
#include "notifier.hpp"
#include "standin_support/faults.hpp"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace camphorhitch::standin_worker
{

/// Settings of the service.
struct service_settings
{
    std::vector<host> hosts;
    behaviour simulation;
    std::string livelist; ///< control address of the live list, or empty
    std::string targets;  ///< control address of the targets, or empty
};

/// The service on its two ports.
class service
{
public:
    service(standin_support::standin& s, service_settings settings);
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    standin_support::listener& port()
    {
        return *port_;
    }

    standin_support::listener& control_port()
    {
        return *control_port_;
    }

    /// \return the number of notices not yet delivered to the live list and the targets.
    std::size_t notices_pending()
    {
        return livelist_.pending() + targets_.pending();
    }

private:
    using exchange_ptr = standin_support::exchange_ptr;
    using path_parts = standin_support::path_parts;
    using action = void (service::*)(const exchange_ptr&, const path_parts&);

    standin_support::route host_route(std::string method, std::string pattern, action handler);
    void on_reboot(const exchange_ptr& pending, const path_parts& parts);
    void on_start(const exchange_ptr& pending, const path_parts& parts);
    void on_task_action(const exchange_ptr& pending, const path_parts& parts);
    void on_reports(const exchange_ptr& pending, const path_parts& parts);
    ports::http_response on_control(const ports::http_request& r);
    std::vector<host*> selected(standin_support::object_reader& command);
    void control_hosts(standin_support::object_reader& command);
    void control_behaviour(standin_support::object_reader& command);
    ports::http_response stats();
    ports::http_response record() const;

    moment now() const;
    void tick();
    void send_notices();

    standin_support::standin& standin_;
    fleet fleet_;
    standin_support::fault_gate gate_;
    notifier livelist_;
    notifier targets_;
    std::map<std::string, std::uint64_t> calls_; ///< number of calls by method and pattern
    standin_support::listener* port_ = nullptr;
    standin_support::listener* control_port_ = nullptr;
};

} // namespace camphorhitch::standin_worker
