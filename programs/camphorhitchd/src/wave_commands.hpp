/// \file
/// Operators' commands on waves, as writes of their documents.
#pragma once

#include "context.hpp"
#include "fleet/wave_rules.hpp"
#include "fleet_service.hpp"
#include "language/statements.hpp"

#include <functional>
#include <string>

namespace camphorhitch::daemon
{

enum class wave_verb
{
    cancel,
    resume
};

/// Told a note for people, or why the command had no effect.
using wave_callback = std::function<void(core::result<std::string>)>;

fleet::wave_start_request wish_of(const language::drain_statement& s, const std::string& command);

void write_wave_start(context& c,
    const fleet_service& fleet,
    const fleet::wave_start_request& wish,
    wave_callback done);
void write_wave_change(context& c,
    const fleet_service& fleet,
    const std::string& id,
    wave_verb verb,
    const std::string& command,
    wave_callback done);

/// \return whether the wave that \p command started is over; true when it started none.
bool has_ended(const std::string& command, const fleet_service& fleet);

} // namespace camphorhitch::daemon
