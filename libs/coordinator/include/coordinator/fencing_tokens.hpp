/// \file
/// Fencing tokens of the calls to runners.
///
/// A runner obeys the highest token that it has seen, and one that starts again under its id has
/// seen none: it would carry out late calls that were meant for its earlier incarnation, with
/// leases on another clock and acknowledgements of other ends. The calls to it therefore carry a
/// higher token than any call to the earlier incarnation. Tokens are store revisions of writes that
/// succeed only while this coordinator leads, so each of them is below the tokens of its
/// successors.
#pragma once

#include "coordinator/fleet.hpp"

#include <cstdint>
#include <string>

namespace camphorhitch::coordinator
{

/// Records the store revision of a write that succeeded on the condition that this coordinator
/// leads.
void record_own_write(fleet& f, ports::revision revision);

/// \return the token of calls to the host.
std::int64_t fencing_token_for(const fleet& f, const std::string& host);

/// To be called when \p h replaces an earlier incarnation of its runner: calls that were meant for
/// that one may take effect on \p h. It takes no tasks until settle_earlier_calls() has found that
/// it refuses them.
void expect_earlier_calls(const fleet& f, host_entry& h, core::mono_time now);

/// Raises the token of calls to \p h if earlier calls may still take effect there; to be called
/// before each poll, since settle_earlier_calls() takes the answered poll for one with the present
/// token.
void raise_fencing_token(fleet& f, const host_entry& h);

/// To be called when \p h has answered a poll: if its token was above those of all earlier calls,
/// the runner refuses them from now on.
void settle_earlier_calls(const fleet& f, host_entry& h, task_events& out);

/// \return whether a host of another incarnation of the same runner was removed recently.
bool has_earlier_incarnation(const fleet& f, const std::string& host);

/// \param token of the answered call
/// \return the answer; `unhealthy` for a refusal that shows only that the calls to the runner have
///   carried a higher token since, and not that another coordinator leads
ports::runner_answer without_own_refusal(
    const fleet& f, const std::string& host, std::int64_t token, ports::runner_answer answer);

} // namespace camphorhitch::coordinator
