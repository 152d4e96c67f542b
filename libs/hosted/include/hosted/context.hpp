/// \file
/// The ports and the name of a node, shared by all of its parts.
#pragma once

#include "core/time.hpp"
#include "ports/advice.hpp"
#include "ports/machines.hpp"
#include "ports/metadata_store.hpp"
#include "ports/runners.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"

#include <functional>
#include <string>

namespace camphorhitch::hosted
{

/// The ports must outlive every part that holds a context.
struct context
{
    std::string member; ///< this node's name
    ports::scheduler time;
    ports::metadata_store store;
    ports::runners runners;
    ports::machines machines;
    ports::advice advice; ///< empty functions when the platform offers no advice
    ports::telemetry tel;
    /// Clock that keeps running while the machine is suspended. Leases of this process are checked
    /// against this clock. The monotonic clock stands still during a suspension, so a process that
    /// checked against it would, after waking up, still trust a lease that expired in the meantime.
    std::function<core::mono_time()> boot_now;
    /// Returns whether the metadata store does not answer any call at the moment; empty when this
    /// is not known. The effect of a call sent to an unresponsive store stays unknown to its
    /// caller.
    std::function<bool()> store_unresponsive;
    /// Returns whether the metadata store serves nothing to this node at the moment; empty when
    /// this is not known.
    std::function<bool()> store_failing;
    /// Runs \p fn after the handlers of all descriptors that are ready now; empty when the node has
    /// no descriptors.
    std::function<void(std::function<void()> fn)> post_behind_descriptors;
    /// Returns the processor time that this process has used; empty when it is not known.
    std::function<core::micros()> processor_time;
    /// Measures, by a short computation, the share of a core (0 to 1) that this process gets at the
    /// moment; empty when it cannot be measured.
    std::function<double()> measure_processor_share;
    /// Returns the largest share of a core (0 to 1) that any other eligible coordinator has; 0 when
    /// none is known. The function is empty when shares are not exchanged.
    std::function<double()> best_other_share;
};

/// \return whether the metadata store is known to be unresponsive.
inline bool is_store_unresponsive(const context& c)
{
    return c.store_unresponsive && c.store_unresponsive();
}

/// \return whether the metadata store is known to serve nothing to this node.
inline bool is_store_failing(const context& c)
{
    return is_store_unresponsive(c) || (c.store_failing && c.store_failing());
}

} // namespace camphorhitch::hosted
