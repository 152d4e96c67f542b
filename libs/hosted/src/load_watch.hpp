/// \file
/// Measures how late the loop is while this node coordinates, and reports its load once a second.
#pragma once

#include "lag_monitor.hpp"
#include "term.hpp"

#include <optional>

namespace camphorhitch::hosted
{

class load_watch
{
public:
    /// \param on_delay is told how late timers ran and how long answers lay unread.
    load_watch(term& t, std::function<void(core::micros)> on_delay);
    load_watch(const load_watch&) = delete;
    load_watch& operator=(const load_watch&) = delete;

    /// Sets the levels of the metrics to 0: another node coordinates.
    ~load_watch();

    void start();

private:
    void wait();
    void probe();
    void probe_sockets(core::mono_time now);
    void report(core::mono_time now);
    load_moment measure(core::mono_time now);

    term& term_;
    std::function<void(core::micros)> on_delay_;
    core::mono_time due_;
    std::optional<core::mono_time> sent_; ///< a probe among the descriptors waits for its turn
    core::mono_time sockets_probed_;
    core::mono_time reported_;
    core::micros processor_{0}; ///< used until the latest report
    core::micros overdue_{0};   ///< since then
    lag_monitor pace_;
};

} // namespace camphorhitch::hosted
