/// \file
/// The executor's side of at most once: one attempt to run a request with an idempotency key, and
/// what its caller may be told.
///
/// "Not run" is a promise about the key: this attempt will never send, and no earlier one can have
/// run. Only a holder's word given after both holders agreed (a grant, "full", "other body")
/// supports it. An attempt that never reached the holders can promise its own part only, so its
/// caller is told "unknown" with the remark that this attempt was not sent.
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

enum class outcome
{
    answered,
    not_run,
    unknown
};

inline constexpr core::name_table<outcome, 3> outcome_names{{
    {outcome::answered, "answered"},
    {outcome::not_run, "not-run"},
    {outcome::unknown, "unknown"},
}};

/// The rule behind an outcome.
enum class outcome_reason
{
    answered,        ///< by the target, now
    replayed,        ///< by the target, earlier; remembered
    answer_not_kept, ///< it ran, and the answer was too large to remember
    running,         ///< another attempt has the key
    may_have_run,    ///< another attempt ended without an answer
    no_answer,       ///< this attempt was sent and no whole answer came
    other_body,      ///< the key belongs to another body
    keys_full,       ///< no room to remember one more key
    quarantined,     ///< both holders of the key's slot were lost
    not_claimed,     ///< the holders could not be asked in time
    given_up         ///< this process could not or would not send
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

/// What the caller is told.
struct outcome_report
{
    outcome kind = outcome::unknown;
    outcome_reason reason = outcome_reason::given_up;
    bool attempt_sent = false;     ///< whether this very attempt was sent to a target
    core::millis retry_after{0};   ///< 0: none to suggest
    ports::http_response response; ///< when answered
};

struct executor_settings
{
    core::millis permit_ttl{2000};       ///< most time from the claim's request to the send
    core::millis key_memory{900000};     ///< of the holders
    core::millis ask_delay{100};         ///< before asking again after a broken call
    core::millis retry_after{1000};      ///< suggested to callers after a failure that may pass
    core::millis finish_delay{250};      ///< before an unacknowledged end is told again
    core::millis finish_patience{60000}; ///< then it is told no more
};

enum class attempt_phase
{
    asking,
    granted,
    sending,
    closed
};

/// One attempt. It lives until it is closed and its end is acknowledged or given up.
struct attempt
{
    std::string key;
    std::uint64_t body_hash = 0;
    std::string executor;       ///< membership::process_name of this member
    std::uint64_t number = 0;   ///< unique within the executor
    core::mono_time deadline{}; ///< of asking
    attempt_phase phase = attempt_phase::asking;
    core::mono_time granted_from{};         ///< start of the request that was granted
    bool sent = false;                      ///< a byte may have left for a target
    bool may_be_claimed = false;            ///< a holder may remember this attempt
    std::optional<ports::claim_finish> end; ///< not acknowledged yet
    core::mono_time closed_at{};
};

/// Ask the first holder of the newest roster again after \p delay.
struct ask_again
{
    core::millis delay{0};
};

/// The key is this attempt's: get a permit, check may_send, send.
struct proceed
{
};

/// \c std::monostate: nothing to do, the attempt was closed before.
using claim_step = std::variant<std::monostate, ask_again, proceed, outcome_report>;

/// The message for the first holder of the key's slot.
ports::claim_request make_claim(const attempt& a, ports::epoch_number epoch);

/// The end of a claim call, also of one that failed.
/// \param started when the call was sent: the grant's age counts from there, since an answer that
///   waited during a pause says nothing about now.
claim_step on_claim_reply(attempt& a,
    const executor_settings& settings,
    ports::peer_status status,
    const ports::claim_reply& reply,
    core::mono_time started,
    core::mono_time now);

/// \return whether the attempt may be sent at this moment. When only the grant is too old, claim
/// again with the same attempt.
bool may_send(const attempt& a, const executor_settings& settings, bool fresh, core::mono_time now);

/// To be called right before the first byte leaves; may_send must hold.
void begin_send(attempt& a, const executor_settings& settings, bool fresh, core::mono_time now);

/// The end of the call to the target. \return nothing when certainly no byte left: the attempt is
/// granted still and may be sent to another target, or given up.
std::optional<outcome_report> on_target_end(
    attempt& a, const ports::http_outcome& result, core::mono_time now);

/// Gives up an attempt that is not being sent. Answer the caller before the end is told to the
/// holders: from then on another attempt may run.
outcome_report give_up(
    attempt& a, const executor_settings& settings, outcome_reason reason, core::mono_time now);

/// \return what the holders have yet to be told about the end, for the first holder of the newest
/// roster; nothing when they know or when it is too late. Tell again after `finish_delay`.
std::optional<ports::claim_finish> due_finish(const attempt& a,
    const executor_settings& settings,
    ports::epoch_number epoch,
    core::mono_time now);

/// A holder answered the finish.
void on_finish_ack(attempt& a, const ports::ack& ack);

} // namespace camphorhitch::claims
