/// \file
/// The executor's side of at-most-once execution: one attempt to run a request with an idempotency
/// key, and what its caller is told.
///
/// "Not run" is a promise about the key: this attempt will never be sent, and no earlier attempt
/// can have run. Only a holder's statement that both holders agreed to (a grant, "full", "other
/// body") supports this promise. An attempt that never reached the holders can only speak for
/// itself, so its caller gets "unknown" together with the remark that this attempt was not sent.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"
#include "ports/http.hpp"
#include "ports/peer.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace camphorhitch::claims
{

/// What is known about the run of a request.
enum class outcome
{
    answered, ///< it ran, and this is its answer
    not_run,  ///< this attempt will not run, and no earlier one has run
    unknown   ///< it may have run or may still run
};

inline constexpr core::name_table<outcome, 3> outcome_names{{
    {outcome::answered, "answered"},
    {outcome::not_run, "not-run"},
    {outcome::unknown, "unknown"},
}};

/// The rule that led to an outcome.
enum class outcome_reason
{
    answered,        ///< by the target, in this attempt
    replayed,        ///< by the target, in an earlier attempt; the holders stored the answer
    answer_not_kept, ///< the key ran, and its answer was too large to be stored
    running,         ///< another attempt has claimed the key
    may_have_run,    ///< another attempt ended without an answer
    no_answer,       ///< this attempt was sent, and no complete answer was received
    other_body,      ///< the key was used with another request body
    keys_full,       ///< the slot can't store one more key
    quarantined,     ///< both holders of the key's slot were lost
    not_claimed,     ///< the holders could not be reached before the deadline
    given_up         ///< this process could not send the request, or decided not to
};

inline constexpr core::name_table<outcome_reason, 11> outcome_reason_names{{
    {outcome_reason::answered, "answered"},
    {outcome_reason::replayed, "replayed"},
    {outcome_reason::answer_not_kept, "answer-not-kept"},
    {outcome_reason::running, "running"},
    {outcome_reason::may_have_run, "may-have-run"},
    {outcome_reason::no_answer, "no-answer"},
    {outcome_reason::other_body, "other-body"},
    {outcome_reason::keys_full, "keys-full"},
    {outcome_reason::quarantined, "quarantined"},
    {outcome_reason::not_claimed, "not-claimed"},
    {outcome_reason::given_up, "given-up"},
}};

/// The outcome that is reported to the caller.
struct outcome_report
{
    outcome kind = outcome::unknown;
    outcome_reason reason = outcome_reason::given_up;
    bool attempt_sent = false;     ///< whether this attempt itself was sent to a target
    core::millis retry_after{0};   ///< 0: no suggestion
    ports::http_response response; ///< set when kind is answered
};

/// Settings of the executor's side.
struct executor_settings
{
    core::millis permit_ttl{2000};       ///< maximum time from the claim's request to the send
    core::millis key_memory{900000};     ///< how long the holders keep a key
    core::millis claim_retry_delay{100}; ///< before a claim is repeated after a failed call
    core::millis retry_after{1000}; ///< suggested to callers after a failure that may be temporary
    core::millis finish_retry_delay{250}; ///< before an unacknowledged finish is sent again
    /// Time after the close of an attempt in which its finish is sent again.
    core::millis finish_timeout{60000};
};

/// The phases of an attempt.
enum class attempt_phase
{
    claiming, ///< the holders are asked for the key
    granted,  ///< the key is claimed for this attempt, which is not being sent
    sending,  ///< the call to the target is running
    closed    ///< the outcome is decided
};

/// One attempt. It is kept until it is closed and its finish is acknowledged or has timed out.
struct attempt
{
    std::string key;
    std::uint64_t body_hash = 0;
    std::string executor;       ///< membership::process_name of this member
    std::uint64_t number = 0;   ///< unique within the executor
    core::mono_time deadline{}; ///< after it, the claim is not repeated
    attempt_phase phase = attempt_phase::claiming;
    core::mono_time grant_requested_at{}; ///< when the claim that was granted was sent
    bool sent = false;                    ///< a byte may have left for a target
    bool may_be_claimed = false;          ///< a holder may have stored this attempt's claim
    std::optional<ports::claim_finish> pending_finish; ///< not acknowledged by a holder yet
    core::mono_time closed_at{};
};

/// Claim the key again, at the first holder of the newest roster, after \p delay.
struct retry_claim
{
    core::millis delay{0};
};

/// The key is claimed for this attempt: get a permit, check may_send, then send.
struct claim_granted
{
};

/// The next step of an attempt. \c std::monostate: nothing to do, the attempt was closed before.
using claim_step = std::variant<std::monostate, retry_claim, claim_granted, outcome_report>;

/// \return the message for the first holder of the key's slot.
ports::claim_request make_claim(const attempt& a, ports::epoch_number epoch);

/// Handles the end of a claim call, also of one that failed.
/// \param started when the call was sent. The age of a grant counts from there, because an answer
///   that waited while this process was paused says nothing about the present.
claim_step on_claim_reply(attempt& a,
    const executor_settings& settings,
    ports::peer_status status,
    const ports::claim_reply& reply,
    core::mono_time started,
    core::mono_time now);

/// \return whether the attempt may be sent at \p now. When only the grant is too old, the same
/// attempt may claim the key again.
bool may_send(const attempt& a, const executor_settings& settings, bool fresh, core::mono_time now);

/// Marks the attempt as sent. Must be called right before the first byte leaves; may_send must
/// hold.
void begin_send(attempt& a, const executor_settings& settings, bool fresh, core::mono_time now);

/// Handles the end of the call to the target.
/// \return nothing when certainly no byte left: the attempt is still granted and may be sent to
/// another target, or given up.
std::optional<outcome_report> on_target_result(
    attempt& a, const ports::http_outcome& result, core::mono_time now);

/// Gives up an attempt that is not being sent. The caller must be answered before the holders get
/// the finish, because from then on another attempt may run.
outcome_report give_up(
    attempt& a, const executor_settings& settings, outcome_reason reason, core::mono_time now);

/// \return the finish message that the first holder of the newest roster has not acknowledged yet;
/// nothing when it is acknowledged or finish_timeout has passed. Must be sent again after
/// `finish_retry_delay`.
std::optional<ports::claim_finish> next_finish_message(const attempt& a,
    const executor_settings& settings,
    ports::epoch_number epoch,
    core::mono_time now);

/// Handles a holder's answer to the finish.
void on_finish_ack(attempt& a, const ports::ack& ack);

} // namespace camphorhitch::claims
