/// \file
/// Applies events to pool documents; all changes of a pool document are made here. The budget is
/// counted in the same change that starts an absence.
#pragma once

#include "core/result.hpp"
#include "core/time.hpp"
#include "fleet/pool_events.hpp"
#include "model/config.hpp"
#include "model/fleet.hpp"

#include <string>

namespace camphorhitch::fleet
{

/// What a rule uses beside the document.
struct rule_context
{
    const model::configuration& config;
    core::wall_time now; ///< for records only
};

/// The effect of an event on a document.
struct effect
{
    bool changed = false; ///< false: the event was applied before, or there was nothing to do
    std::string note;     ///< description for the operator or the log
};

/// Applies \p e to \p d. When the event is refused, \p d stays unchanged and the error says why.
core::result<effect> apply(model::pool_document& d, const pool_event& e, const rule_context& c);

/// A changed copy of a document, to be written to the store.
struct pool_change
{
    model::pool_document next;
    effect outcome;
};

/// Applies \p e to a copy of \p d, as apply() does.
core::result<pool_change> change(const model::pool_document& d,
    const pool_event& e,
    const model::configuration& config,
    core::wall_time now);

/// \return whether the document records that \p h was handed over for a reboot and the host has not
/// been seen to come back since.
bool reboot_pending(const model::host_record& h);

/// Number of command ids that a document keeps in order to recognize repeated commands.
inline constexpr std::size_t max_recorded_commands = 32;

} // namespace camphorhitch::fleet
