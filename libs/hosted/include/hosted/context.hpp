/// \file
/// What all parts of a node share: the ports and the node's name.
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

/// The ports must outlive every part that holds the context.
struct context
{
    std::string member; ///< this node's name
    ports::scheduler time;
    ports::metadata_store store;
    ports::runners runners;
    ports::machines machines;
    ports::advice advice; ///< without a function: there is none
    ports::telemetry tel;
    /// A clock that goes on while the machine is suspended. Leases of this process are judged by
    /// it: by the monotonic clock, which stands still then, a woken process would still trust a
    /// lease that lapsed in its sleep.
    std::function<core::mono_time()> boot_now;
    /// Whether the store answers nothing at all; without a function: not known. What is sent to a
    /// silent store has an effect that its caller can't learn.
    std::function<bool()> store_silent;
    /// Runs \p fn behind the descriptors that are ready now; without a function: there are none.
    std::function<void(std::function<void()> fn)> post_behind_descriptors;
    /// Processor time that this process has used; without a function: not known.
    std::function<core::micros()> processor_time;
    /// Share of a core that this process gets just now, by a short trial; without a function: not
    /// known.
    std::function<double()> processor_trial;
    /// Largest share of a core of another node that may coordinate, 0 when none is known; without a
    /// function: not known.
    std::function<double()> best_other_share;
};

/// \return whether the store is known to be silent.
inline bool is_store_silent(const context& c)
{
    return c.store_silent && c.store_silent();
}

} // namespace camphorhitch::hosted
