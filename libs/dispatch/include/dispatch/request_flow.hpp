/// \file
/// The sender's side: one caller's request at its entry host, from its arrival to its answer.
///
/// Events go in with the time, actions come out in the order in which they are to be done; an ask
/// or a send is always the last one, so that its end may come while it is being started. For a
/// request with an idempotency key the claim comes first, then the permit, then the checks just
/// before the send, then the send. The caller is answered exactly once unless it went away.
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

/// What the flows of one entry host share.
struct request_sender
{
    std::string member;
    std::string incarnation;
    std::string zone;
    ports::epoch_number epoch = 0; ///< newest roster adopted
    sender_settings settings;
    std::uint64_t next_number = 1;                                  ///< of asks and attempts
    std::map<std::string, std::array<run_times, class_count>> runs; ///< by pool and class
    /// By pool: permits asked for under older epochs are refused, as was told to a new owner.
    std::map<std::string, ports::epoch_number> refuse_below;
};

/// A new owner asked which permits are held. From here on, permits of older epochs that have not
/// been used are refused; the reply lists held_by() of all flows, read after this call.
void on_held_query(request_sender& sender, const ports::held_query& query);

/// What a caller is told beside the status.
enum class caller_outcome
{
    answered, ///< the target's own answer, or a remembered one
    not_run,  ///< a promise
    unknown   ///< it may have run, or may still run
};

inline constexpr core::name_table<caller_outcome, 3> caller_outcome_names{{
    {caller_outcome::answered, "answered"},
    {caller_outcome::not_run, "not-run"},
    {caller_outcome::unknown, "unknown"},
}};

struct ask_claim
{
    ports::claim_request message; ///< to the first holder of the key's slot
};

struct ask_permit
{
    ports::permit_request message; ///< to the pool's owner
};

struct send_request
{
    std::string host;
    std::string address;
    bool fresh_connection = false;
    core::millis connect_timeout{0};
    core::millis total_timeout{0};
    ports::http_fields fields; ///< to set on the request, in place of those that came
};

/// Closes the connection of the send.
struct cancel_send
{
};

struct return_permit
{
    ports::permit_return message; ///< to the pool's owner
};

struct finish_claim
{
    ports::claim_finish message; ///< to the first holder of the key's slot, by the newest roster
};

struct answer_caller
{
    caller_outcome outcome = caller_outcome::unknown;
    ports::http_response response; ///< with the fields for outcome and Retry-After
    core::millis retry_after{0};   ///< 0: none was told
    std::string reason;            ///< name of the rule that decided
};

using flow_action = std::variant<ask_claim,
    ask_permit,
    send_request,
    cancel_send,
    return_permit,
    finish_claim,
    answer_caller>;
using flow_actions = std::vector<flow_action>;

enum class flow_phase
{
    claiming,
    claim_pause, ///< asks for the claim again at pause_until
    asking,
    ask_pause, ///< asks for a permit again at pause_until
    sending,
    telling, ///< the caller has its answer; the claim's holders don't know the end yet
    ended
};

inline constexpr core::name_table<flow_phase, 7> flow_phase_names{{
    {flow_phase::claiming, "claiming"},
    {flow_phase::claim_pause, "claim_pause"},
    {flow_phase::asking, "asking"},
    {flow_phase::ask_pause, "ask_pause"},
    {flow_phase::sending, "sending"},
    {flow_phase::telling, "telling"},
    {flow_phase::ended, "ended"},
}};

/// A send whose connection was closed while the target may have been running the request.
struct cut_send
{
    std::uint64_t ask = 0;
    ports::permit_reply permit;
    core::mono_time sent_at;
    core::mono_time until; ///< the target has stopped by then
};

struct request_flow
{
    caller_request request;
    flow_phase phase = flow_phase::claiming;
    core::mono_time deadline;
    core::mono_time pause_until;
    core::millis pause{0};
    bool caller_waits = true;             ///< it is there and was not answered
    std::optional<claims::attempt> claim; ///< of a request with a key
    core::mono_time claim_asked_at;       ///< when the newest ask for the claim was made
    std::uint64_t ask = 0;                ///< number of the newest ask for a permit
    core::mono_time asked_at;             ///< when that ask was made first
    ports::epoch_number ask_epoch = 0;
    ports::permit_reply permit; ///< while sending
    core::mono_time sent_at;
    core::mono_time send_until; ///< the send's own timeout ends it by then
    int sends = 0;              ///< with earlier attempts of others counted
    bool retrying = false;      ///< a send that may have run came before
    bool may_have_run = false;
    std::vector<cut_send> cuts; ///< that a target may still be running
    std::vector<std::string> avoid;
    std::optional<ports::http_response> kept; ///< a failure to answer with if no retry is had
};

flow_actions begin(
    request_flow& flow, request_sender& sender, caller_request request, core::mono_time now);

/// \param status how the call to the holder ended; \p reply counts only when it is ok.
flow_actions on_claim(request_flow& flow,
    request_sender& sender,
    ports::peer_status status,
    const ports::claim_reply& reply,
    core::mono_time now);

/// The end of a finish_claim.
flow_actions on_finish_ack(request_flow& flow,
    request_sender& sender,
    ports::peer_status status,
    const ports::ack& ack,
    core::mono_time now);

/// \param ask the number of the ask that this is the reply to.
/// \param fresh whether this process still knows the truth, asked just now.
flow_actions on_permit(request_flow& flow,
    request_sender& sender,
    std::uint64_t ask,
    ports::peer_status status,
    const ports::permit_reply& reply,
    bool fresh,
    core::mono_time now);

flow_actions on_outcome(request_flow& flow,
    request_sender& sender,
    const ports::http_outcome& outcome,
    core::mono_time now);

/// To be called at wake_at or later.
flow_actions on_timer(request_flow& flow, request_sender& sender, core::mono_time now);

flow_actions on_caller_gone(request_flow& flow, request_sender& sender, core::mono_time now);

/// The pool has another owner: an unanswered ask goes to it, by a new number.
flow_actions on_owner_changed(request_flow& flow, request_sender& sender, core::mono_time now);

/// \return when on_timer has something to do; max(): never.
core::mono_time wake_at(const request_flow& flow);

/// \return the permits under which a request of this flow is in flight or may still be running.
std::vector<ports::held_permit> held_by(const request_flow& flow, core::mono_time now);

/// \return whether the flow may be forgotten. It outlives its answer until the claim's holders know
/// the end and the targets have stopped what was cut.
bool has_ended(const request_flow& flow);

} // namespace camphorhitch::dispatch
