/// \file
/// The sender's side of permits: one caller's request at its entry host, from its arrival to its
/// answer.
///
/// Each function takes an event with its time and returns actions in the order in which they must
/// be carried out. A request for a claim or permit, or a send, is always the last action, so that
/// its result may arrive while it is being started. A request with an idempotency key is claimed
/// first; then the permit is requested; then the checks just before the send are made; then the
/// request is sent. The caller is answered exactly once, unless it disconnected.
#pragma once

#include "dispatch/caller_request.hpp"
#include "dispatch/run_times.hpp"
#include "ports/peer.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::dispatch
{

/// State that all request flows of one entry host share.
struct request_sender
{
    std::string member;
    std::string incarnation;
    std::string zone;
    ports::epoch_number epoch = 0; ///< epoch of the newest roster adopted
    sender_settings settings;
    std::uint64_t next_number = 1; ///< of the next permit request or claim attempt
    std::map<std::string, std::array<run_times, class_count>> measured_times; ///< by pool and class
    /// Minimum epoch by pool: this sender has promised a new owner not to use permits that were
    /// requested under older epochs.
    std::map<std::string, ports::epoch_number> min_permit_epochs;
};

/// Handles a new owner's query for the permits in use. From this call on, unused permits that were
/// requested under older epochs are refused. The reply must list held_permits() of all flows, read
/// after this call.
void on_held_query(request_sender& sender, const ports::held_query& query);

/// The outcome that an answer to a caller states beside the HTTP status.
enum class caller_outcome
{
    answered, ///< the response is the target's own, or the stored response of an earlier call
    not_run,  ///< the request certainly has not run and will not run
    unknown   ///< the request may have run or may still be running
};

inline constexpr core::name_table<caller_outcome, 3> caller_outcome_names{{
    {caller_outcome::answered, "answered"},
    {caller_outcome::not_run, "not-run"},
    {caller_outcome::unknown, "unknown"},
}};

/// Action: request a claim for the idempotency key.
struct request_claim
{
    ports::claim_request message; ///< to the first holder of the key's slot
};

/// Action: request a permit.
struct request_permit
{
    ports::permit_request message; ///< to the pool's owner
};

/// Action: send the caller's request to a target.
struct send_request
{
    std::string host;
    std::string address;           ///< "ip:port" of the target
    bool fresh_connection = false; ///< open a new connection instead of reusing an idle one
    core::millis connect_timeout{0};
    core::millis total_timeout{0};
    ports::http_fields fields; ///< fields to set on the request; they replace the received ones
};

/// Action: close the connection of the current send.
struct cancel_send
{
};

/// Action: return a permit, or withdraw a permit request.
struct return_permit
{
    ports::permit_return message; ///< to the pool's owner
};

/// Action: report the end of the claimed request.
struct finish_claim
{
    ports::claim_finish message; ///< to the first holder of the key's slot, by the newest roster
};

/// Action: answer the caller.
struct answer_caller
{
    caller_outcome outcome = caller_outcome::unknown;
    ports::http_response response; ///< includes the fields for the outcome and Retry-After
    core::millis retry_after{0};   ///< 0: the answer has no Retry-After
    std::string reason;            ///< name of the rule that decided
};

using flow_action = std::variant<request_claim,
    request_permit,
    send_request,
    cancel_send,
    return_permit,
    finish_claim,
    answer_caller>;
using flow_actions = std::vector<flow_action>;

/// The phase that a flow is in.
enum class flow_phase
{
    claiming,          ///< a claim request is in flight
    claim_retry_wait,  ///< the claim is requested again at retry_at
    requesting_permit, ///< a permit request is in flight
    permit_retry_wait, ///< a permit is requested again at retry_at
    sending,           ///< the request is in flight to a target
    finishing_claim,   ///< the caller has its answer; the claim's holders have not acknowledged the
                       ///< end
    ended
};

inline constexpr core::name_table<flow_phase, 7> flow_phase_names{{
    {flow_phase::claiming, "claiming"},
    {flow_phase::claim_retry_wait, "claim_pause"},
    {flow_phase::requesting_permit, "asking"},
    {flow_phase::permit_retry_wait, "ask_pause"},
    {flow_phase::sending, "sending"},
    {flow_phase::finishing_claim, "telling"},
    {flow_phase::ended, "ended"},
}};

/// A send whose connection was lost while the target may have been running the request.
struct interrupted_send
{
    std::uint64_t permit_request_id = 0; ///< number of the permit request
    ports::permit_reply permit;          ///< the permit that the request was sent under
    core::mono_time sent_at;
    core::mono_time until; ///< the target has certainly stopped the request by then
};

/// State of one caller's request.
struct request_flow
{
    caller_request request;
    flow_phase phase = flow_phase::claiming;
    core::mono_time deadline;
    core::mono_time retry_at;      ///< when the claim, its end or the permit request is sent again
    core::millis retry_delay{0};   ///< current delay before a retry; it doubles
    bool caller_is_waiting = true; ///< the caller is connected and has not been answered
    std::optional<claims::attempt> claim;         ///< set for a request with an idempotency key
    core::mono_time claim_requested_at;           ///< time of the newest claim request
    std::uint64_t permit_request_id = 0;          ///< number of the newest permit request; 0: none
    core::mono_time permit_requested_at;          ///< time when that permit request was first sent
    ports::epoch_number permit_request_epoch = 0; ///< roster epoch of that permit request
    ports::permit_reply permit;                   ///< valid while sending
    core::mono_time sent_at;
    core::mono_time send_until; ///< when the time-out of the send ends it
    int sends = 0;              ///< number of sends, earlier attempts of others included
    bool is_retry = false;      ///< an earlier send may have run
    bool may_have_run = false;  ///< a send without a complete answer may have run
    std::vector<interrupted_send> interrupted_sends; ///< sends that a target may still be running
    std::vector<std::string> avoid;                  ///< hosts that a send failed at
    /// Response of a failed send, which answers the caller if no retry succeeds.
    std::optional<ports::http_response> fallback_response;
};

/// Starts the flow of a request that has arrived.
flow_actions start_flow(
    request_flow& flow, request_sender& sender, caller_request request, core::mono_time now);

/// Handles the result of a request_claim.
/// \param status how the call to the holder ended; \p reply is valid only if it is ok.
flow_actions on_claim(request_flow& flow,
    request_sender& sender,
    ports::peer_status status,
    const ports::claim_reply& reply,
    core::mono_time now);

/// Handles the result of a finish_claim.
flow_actions on_finish_ack(request_flow& flow,
    request_sender& sender,
    ports::peer_status status,
    const ports::ack& ack,
    core::mono_time now);

/// Handles the result of a request_permit.
/// \param permit_request_id the number of the permit request that \p reply answers.
/// \param status how the call to the owner ended; \p reply is valid only if it is ok.
/// \param fresh whether the view of this process was confirmed to be fresh just before this call.
flow_actions on_permit(request_flow& flow,
    request_sender& sender,
    std::uint64_t permit_request_id,
    ports::peer_status status,
    const ports::permit_reply& reply,
    bool fresh,
    core::mono_time now);

/// Handles the end of a send_request.
flow_actions on_outcome(request_flow& flow,
    request_sender& sender,
    const ports::http_outcome& outcome,
    core::mono_time now);

/// Handles everything that is due by time. Must be called at next_timer() or later.
flow_actions on_timer(request_flow& flow, request_sender& sender, core::mono_time now);

/// Handles the disconnection of a caller that has not been answered.
flow_actions on_caller_disconnected(
    request_flow& flow, request_sender& sender, core::mono_time now);

/// Handles a change of the pool's owner: an unanswered permit request is sent to the new owner
/// under a new number.
flow_actions on_owner_changed(request_flow& flow, request_sender& sender, core::mono_time now);

/// \return when on_timer() has something to do; max(): never.
core::mono_time next_timer(const request_flow& flow);

/// \return the permits under which a request of this flow is in flight or may still be running.
std::vector<ports::held_permit> held_permits(const request_flow& flow, core::mono_time now);

/// \return whether the flow can be destroyed. After its answer, the flow stays until the claim's
/// holders have acknowledged the end and the targets have stopped all interrupted sends.
bool has_ended(const request_flow& flow);

} // namespace camphorhitch::dispatch
