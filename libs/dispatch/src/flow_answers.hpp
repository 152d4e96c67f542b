/// \file
/// What a caller is told: the table of statuses, outcomes and Retry-After.
#pragma once

#include "dispatch/request_flow.hpp"

namespace camphorhitch::dispatch
{

/// An answer of our own.
/// \param reason name of the rule that decided.
/// \param text a sentence for a person.
answer_caller own_answer(int status,
    caller_outcome outcome,
    core::millis retry_after,
    const std::string& reason,
    const std::string& text);

/// A refusal, by the rule that the owner gave. Nothing of this request has run.
answer_caller not_run_answer(
    const std::string& reason, core::millis retry_after, const sender_settings& settings);

/// The target's own answer.
answer_caller target_answer(ports::http_response response);

/// The answer when a request was sent and may have run, and a second send was refused.
answer_caller unknown_answer(const answer_caller& refused);

/// What the claim's rules say of a call that was not sent. "Not run" is said only where it holds
/// for earlier calls with the key too: a caller would take it for the whole truth and charge again.
answer_caller claim_answer(const claims::outcome_report& told);

} // namespace camphorhitch::dispatch
