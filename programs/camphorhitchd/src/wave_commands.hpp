/// \file
/// Operators' commands on waves, executed as writes to the waves' documents.
#pragma once

#include "context.hpp"
#include "fleet/wave_rules.hpp"
#include "fleet_service.hpp"
#include "language/statements.hpp"

#include <functional>
#include <string>

namespace camphorhitch::daemon
{

/// Commands that change an existing wave.
enum class wave_verb
{
    cancel,
    resume
};

/// Receives a message for operators, or the reason why the command had no effect.
using wave_callback = std::function<void(core::result<std::string>)>;

/// \return the request for the wave that a drain statement starts. Without a name in the statement,
/// the wave's id is made from the scope and the command id.
fleet::wave_start_request make_wave_start_request(
    const language::drain_statement& s, const std::string& command);

/// Starts a wave; a repeated command takes effect once.
void write_wave_start(context& c,
    const fleet_service& fleet,
    const fleet::wave_start_request& request,
    wave_callback done);
/// Cancels or resumes a wave; a repeated command takes effect once.
void write_wave_change(context& c,
    const fleet_service& fleet,
    const std::string& id,
    wave_verb verb,
    const std::string& command,
    wave_callback done);

/// \return whether the wave that \p command started has ended; true when \p command started none.
bool wave_has_ended(const std::string& command, const fleet_service& fleet);

} // namespace camphorhitch::daemon
