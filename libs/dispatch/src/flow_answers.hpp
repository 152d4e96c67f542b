/// \file
/// Answers to callers: status, outcome and Retry-After.
#pragma once

#include "dispatch/request_flow.hpp"

namespace camphorhitch::dispatch
{

/// \return an answer that this entry host makes itself.
/// \param reason name of the rule that decided.
/// \param text explanation for people, in one sentence.
answer_caller own_answer(int status,
    caller_outcome outcome,
    core::millis retry_after,
    const std::string& reason,
    const std::string& text);

/// \return the answer to a request that was refused by the owner's rule \p reason and has not run.
answer_caller not_run_answer(
    const std::string& reason, core::millis retry_after, const sender_settings& settings);

/// \return the target's own response as an answer.
answer_caller target_answer(ports::http_response response);

/// \return the answer to a request that was sent and may have run, and whose retry was refused.
answer_caller unknown_answer(const answer_caller& refused);

/// \return the answer to a call that was not sent because of its claim. The outcome is "not run"
/// only if it holds for earlier calls with the same key too. Otherwise the caller would conclude
/// that no call with the key has run, and would, for example, charge a customer again.
answer_caller claim_answer(const claims::outcome_report& report);

} // namespace camphorhitch::dispatch
