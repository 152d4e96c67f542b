/// \file
/// The live list's two ports: one for readers, one for control and the platform's updates.
#pragma once

#include "lagging_list.hpp"
#include "standin_support/faults.hpp"

namespace camphorhitch::standin_livelist
{

/// The service on its two ports.
class service
{
public:
    service(standin_support::standin& s, core::millis lag);
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

private:
    ports::http_response hosts(core::mono_time then) const;
    void on_set_state(
        const standin_support::exchange_ptr& pending, const standin_support::path_parts& parts);
    ports::http_response on_control(const ports::http_request& r);

    standin_support::standin& standin_;
    core::millis lag_;
    standin_support::fault_gate gate_;
    lagging_list list_;
    std::uint64_t reads_ = 0;
    standin_support::listener* port_ = nullptr;
    standin_support::listener* control_port_ = nullptr;
};

} // namespace camphorhitch::standin_livelist
