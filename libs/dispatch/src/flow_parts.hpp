/// \file
/// Functions that the stages of a request's flow share. Those with a parameter \p out append the
/// actions to carry out.
#pragma once

#include "dispatch/request_flow.hpp"

namespace camphorhitch::dispatch
{

/// Answers the caller, unless it has been answered or has disconnected.
void answer_once(request_flow& flow, answer_caller it, flow_actions& out);

/// \return the delay before a peer is called again. The delay doubles with each call.
core::millis next_retry_delay(request_flow& flow, const sender_settings& settings);

/// Enters \p phase, a wait before a retry. The wait ends at the deadline at the latest.
void wait_for_retry(request_flow& flow, flow_phase phase, core::millis wait, core::mono_time now);

/// Makes the claim attempt of a request with an idempotency key and requests the claim.
void start_claim(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out);

/// Requests the claim, for the first time or again.
void issue_claim_request(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out);

/// Ends the flow. If the claim's holders don't know the end yet, it is reported to them first. Must
/// be called after the caller is answered, because another attempt may run from then on.
void end_flow(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out);

/// Requests a permit.
/// \param renew whether to use a new number. In that case no permit of the previous number may be
/// outstanding, unless it was returned or its request was withdrawn.
void issue_permit_request(
    request_flow& flow, request_sender& sender, bool renew, core::mono_time now, flow_actions& out);

/// Returns a permit, or withdraws the permit request if the number of \p permit is 0.
void issue_permit_return(const request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    std::uint64_t permit_request_id,
    ports::permit_outcome outcome,
    core::micros elapsed,
    flow_actions& out);

/// Withdraws the current permit request, which may be waiting or may have been answered.
void withdraw_permit_request(
    const request_flow& flow, const request_sender& sender, flow_actions& out);

/// Sends the request to the target of \p permit.
void start_send(request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    core::mono_time now,
    flow_actions& out);

/// Closes the connection of an idempotent request in flight and ends the flow.
void cancel_sending(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out);

/// Answers the caller when the deadline passes while the request is in flight. The send goes on.
void answer_timeout_while_sending(
    request_flow& flow, const request_sender& sender, flow_actions& out);

/// Answers the caller and ends a request that is not in flight, or not any more.
/// \param refused the answer if no earlier send has a response or may have run.
void end_not_in_flight(request_flow& flow,
    const request_sender& sender,
    answer_caller refused,
    core::mono_time now,
    flow_actions& out);

/// Ends a request that waits for its claim or permit, because its deadline passed or its caller
/// disconnected.
void abandon_request(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out);

} // namespace camphorhitch::dispatch
