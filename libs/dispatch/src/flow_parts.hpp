/// \file
/// The parts of a request's flow that its stages share.
#pragma once

#include "dispatch/request_flow.hpp"

namespace camphorhitch::dispatch
{

/// Answers the caller unless it has its answer or is gone.
void answer(request_flow& flow, answer_caller it, flow_actions& out);

/// \return the time to wait before a peer is asked again; it doubles.
core::millis next_pause(request_flow& flow, const sender_settings& settings);

void pause_in(request_flow& flow, flow_phase phase, core::millis wait, core::mono_time now);

void start_claim(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out);

void ask_for_claim(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out);

/// Ends the flow, after the claim's holders have been told if there is something to tell. Called
/// after the caller is answered: from then on another attempt may run.
void tell_end(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out);

/// \param renew a new number: nothing of the ask before can be outstanding, or it was given back.
void ask_for_permit(
    request_flow& flow, request_sender& sender, bool renew, core::mono_time now, flow_actions& out);

void give_permit_back(const request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    std::uint64_t ask,
    ports::permit_outcome outcome,
    core::micros elapsed,
    flow_actions& out);

/// Gives up an ask that may be waiting or answered.
void withdraw_ask(const request_flow& flow, const request_sender& sender, flow_actions& out);

void start_send(request_flow& flow,
    const request_sender& sender,
    const ports::permit_reply& permit,
    core::mono_time now,
    flow_actions& out);

/// Closes an idempotent request's connection.
void stop_sending(
    request_flow& flow, request_sender& sender, core::mono_time now, flow_actions& out);

/// The deadline passed while the request is in flight: the caller gets its answer at once.
void time_out_sending(request_flow& flow, const request_sender& sender, flow_actions& out);

/// The end of a request that is not in flight (any more).
void end_unsent(request_flow& flow,
    const request_sender& sender,
    answer_caller refused,
    core::mono_time now,
    flow_actions& out);

/// Ends a request that waits for its claim or permit.
void give_up(
    request_flow& flow, const request_sender& sender, core::mono_time now, flow_actions& out);

} // namespace camphorhitch::dispatch
