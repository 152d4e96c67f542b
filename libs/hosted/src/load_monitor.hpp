/// \file
/// Measures how late the event loop is while this node coordinates, and reports its load once a
/// second.
#pragma once

#include "lag_monitor.hpp"
#include "term.hpp"

#include <optional>

namespace camphorhitch::hosted
{

class load_monitor
{
public:
    /// \param on_delay called with each measured delay of timers and of reading ready descriptors
    load_monitor(term& t, std::function<void(core::micros)> on_delay);
    load_monitor(const load_monitor&) = delete;
    load_monitor& operator=(const load_monitor&) = delete;

    /// Sets the gauges to 0, because another node coordinates.
    ~load_monitor();

    void start();

private:
    void schedule_probe();
    void probe();
    void probe_sockets(core::mono_time now);
    void report(core::mono_time now);
    load_sample measure(core::mono_time now);

    term& term_;
    std::function<void(core::micros)> on_delay_;
    core::mono_time probe_due_;
    std::optional<core::mono_time> socket_probe_sent_at_; ///< while a probe waits to be run
    core::mono_time sockets_probed_at_;
    core::mono_time reported_at_;
    core::micros processor_at_report_{0}; ///< processor time used until the latest report
    core::micros overdue_{0};             ///< sum of the timers' delays since the latest report
    lag_monitor lag_monitor_;
};

} // namespace camphorhitch::hosted
