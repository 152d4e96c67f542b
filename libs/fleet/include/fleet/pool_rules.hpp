/// \file
/// Every change of a pool document. Budgets are counted in the very change that starts an absence.
#pragma once

#include "core/result.hpp"
#include "core/time.hpp"
#include "fleet/pool_events.hpp"
#include "model/config.hpp"
#include "model/fleet.hpp"

#include <string>

namespace camphorhitch::fleet
{

/// What a rule may look at beside the document.
struct rule_context
{
    const model::configuration& config;
    core::wall_time now; ///< for records only
};

/// What became of an event.
struct effect
{
    bool changed = false; ///< false: it had its effect before, or there was nothing to do
    std::string note;     ///< for the operator or the log
};

/// Applies \p e to \p d. A conflict or refusal leaves \p d as it was.
core::result<effect> apply(model::pool_document& d, const pool_event& e, const rule_context& c);

/// A changed copy of a document, for those who write it.
struct pool_change
{
    model::pool_document next;
    effect what;
};

/// Like apply(), on a copy.
core::result<pool_change> change(const model::pool_document& d,
    const pool_event& e,
    const model::configuration& config,
    core::wall_time now);

/// \return whether a reboot of \p h was written down and the host was not seen to come back since.
bool reboot_pending(const model::host_record& h);

/// Most command ids that a document remembers for repeats.
inline constexpr std::size_t remembered_commands = 32;

} // namespace camphorhitch::fleet
