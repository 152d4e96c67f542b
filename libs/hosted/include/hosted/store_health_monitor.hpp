/// \file
/// Detects whether the metadata store answers this node at all, and repeats reads that it left
/// unanswered.
///
/// A store that is cut off or stalled neither answers nor refuses calls. A call sent to it then
/// costs twice: the effect of a write stays unknown to its caller, and a read is waited for until
/// its timeout, which may end seconds after the store has recovered. The monitor therefore detects
/// an unresponsive store within half a second, sends small probes to notice its recovery, and at
/// the first answer repeats all open reads on other connections.
#pragma once

#include "core/time.hpp"
#include "ports/metadata_store.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"

#include <functional>
#include <memory>

namespace camphorhitch::hosted
{

/// Times after which the store is probed and counts as unresponsive.
struct store_health_settings
{
    /// A probe is sent after this time without any answer since a call. A slow store takes 330 ms
    /// for a call, and answers other calls meanwhile.
    core::millis probe_after{250};
    /// The store counts as unresponsive after this time without any answer since a call.
    core::millis unresponsive_after{500};
    core::millis probe_interval{250}; ///< between two probes
    /// The store counts as failing after this time in which calls failed or were refused and none
    /// succeeded.
    core::millis failing_after{400};
    /// A health check that runs later than this after it was due proves nothing: answers may lie
    /// unread on this node.
    core::millis max_check_delay{100};
};

struct store_health_state;

/// Monitors the answers of the metadata store.
class store_health_monitor
{
public:
    /// \param real the store as the client library provides it
    store_health_monitor(const ports::metadata_store& real,
        ports::scheduler time,
        ports::telemetry tel,
        store_health_settings s);
    store_health_monitor(const store_health_monitor&) = delete;
    store_health_monitor& operator=(const store_health_monitor&) = delete;
    ~store_health_monitor();

    /// \return the store with health monitoring. Reads, watches and lease calls that are open when
    /// an unresponsive store answers again are sent once more, and the first answer counts.
    ports::metadata_store port() const;

    /// \return true if the store has left calls unanswered for
    /// store_health_settings::unresponsive_after; false as long as nothing shows that.
    bool is_unresponsive() const;

    /// \return true if the store serves nothing to this node: it is unresponsive, or has refused or
    /// broken off all calls for store_health_settings::failing_after. It may serve other nodes.
    bool is_failing() const;

private:
    std::shared_ptr<store_health_state> state_;
};

} // namespace camphorhitch::hosted
