/// \file
/// The holders' side of at-most-once execution: the records that a member keeps of the idempotency
/// keys in its slots, and how it handles the messages about them. The reasons are in
/// docs/design/at-most-once.md.
///
/// Safety rests on two rules.
/// - A statement that a key has *not* run (a grant, "full", "other body") leaves the first holder
///   only after the second holder has acknowledged the same epoch. As soon as either of the two
///   adopts a newer epoch, they can't make such a statement for the old epoch any more.
/// - A statement that a key *may have* run ("known") needs no agreement, because it stays true for
///   ever.
///
/// A slot is *complete* at a member for an epoch when the member holds every entry that was granted
/// in that epoch and in all epochs before it.
#pragma once

#include "core/time.hpp"
#include "membership/owners.hpp"
#include "ports/peer.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace camphorhitch::claims
{

/// Settings of the holders' side.
struct claim_settings
{
    core::millis key_memory{900000}; ///< how long an entry is kept after its last change
    core::millis permit_ttl{2000};   ///< maximum time from a claim's request to the send
    /// Time after the end of an epoch in which its unresponsive members may still act under it.
    core::millis stop_bound{600500};
    core::millis max_request_time{60000};    ///< an older claim is no longer reported as "running"
    core::millis not_ready_retry_delay{200}; ///< while a slot waits for its state
    core::millis running_retry_delay{1000};  ///< while another attempt is running
    core::millis full_retry_delay{5000};     ///< while the slot can't store one more key
    core::millis pull_interval{1000};        ///< between two rounds of pulls from former holders
    /// Time after the adoption of a roster in which claims for a waiting slot are answered "not
    /// ready". After it, callers get "quarantined" and the rounds of pulls become less frequent.
    core::millis pull_timeout{3000};
    int late_pull_interval_factor = 5;     ///< multiplies pull_interval after pull_timeout
    std::size_t keys_per_slot = 4000;      ///< maximum
    std::size_t answer_kept_bytes = 16384; ///< of one answer; only the fact of a larger one is kept
    /// Above this total only the fact that a key ran is kept, not its answer.
    std::size_t answer_bytes_per_slot = 524288;
    std::size_t slots_per_pull = 8;     ///< bounds the size of one message
    std::size_t slots_per_cleanup = 16; ///< slots whose expired keys one tick removes
};

/// How long an entry is kept: key_memory plus permit_ttl, because a grant may be used as late as
/// permit_ttl after its claim.
core::millis key_lifetime(const claim_settings& settings);

/// How long a slot is quarantined when the grants of an epoch can't be learnt: until the last of
/// them has certainly expired at every member.
core::millis quarantine_time(const claim_settings& settings);

/// The stored answer of a key that ran.
struct stored_answer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

/// The record of one idempotency key.
struct key_record
{
    std::uint64_t body_hash = 0;
    std::uint64_t attempt = 0;
    std::uint64_t sequence = 0; ///< sequence number that the first holder gave to the last change
    ports::epoch_number epoch = 0; ///< epoch of the last change
    core::mono_time changed_at{};
    std::string executor;
    std::shared_ptr<const stored_answer> answer;
    ports::claim_state state = ports::claim_state::claimed;
};

/// The part that this member has in a slot under the adopted roster.
enum class slot_role
{
    none,
    first,
    second
};

/// What another present or former holder reported about a slot in the adopted epoch.
struct holder_report
{
    model::member_record holder;
    ports::epoch_number complete_through = 0;
    ports::epoch_number refused_through = 0;
    ports::epoch_number quarantined_through = 0;
    core::mono_time quarantine_until{};
};

/// The state of one slot at this member.
struct claim_slot
{
    slot_role role = slot_role::none;
    /// The other holder of the slot; empty when this member is the only one. When this member has
    /// no role, the other holder of its last role.
    std::optional<model::member_record> other_holder;
    /// Last epoch for which the slot was complete here; 0: never.
    ports::epoch_number complete_through = 0;
    ports::epoch_number quarantined_through = 0;
    /// Time from which the slot is complete for all epochs up to quarantined_through.
    core::mono_time quarantine_until{};
    /// For some former epoch, every process that could still be asked about its grants is lost.
    bool no_holder_left = false;
    /// Since this member's last role, a new holder has pulled the slot from here.
    bool handed_over = false;
    /// Last epoch for which other_holder has shown that the slot is complete there.
    ports::epoch_number other_complete_through = 0;
    std::uint64_t sequence = 0;
    std::size_t answer_bytes = 0;
    std::unordered_map<std::string, key_record> keys;
    std::vector<holder_report> reports; ///< received in the adopted epoch
    /// Processes that refused the connection in the adopted epoch.
    std::vector<model::member_record> lost_holders;
    /// Processes already asked in the current round of pulls.
    std::vector<model::member_record> asked_this_round;
};

/// Why an entry is copied to the second holder.
enum class copy_purpose
{
    grant,
    refuse_full,
    refuse_other_body,
    finish
};

/// A copy that the second holder has not answered yet, with the message that waits for it.
struct pending_copy
{
    copy_purpose purpose = copy_purpose::grant;
    ports::epoch_number epoch = 0;
    std::uint32_t slot = 0;
    std::uint64_t ticket = 0;
    std::string key;
    std::string executor;
    std::uint64_t attempt = 0;
};

/// All slots of this member and the messages that wait for a second holder.
struct claim_table
{
    claim_settings settings;
    model::member_record self;
    model::roster_document roster; ///< the adopted roster; epoch 0: none yet
    core::mono_time adopted_at{};
    std::vector<claim_slot> slots = std::vector<claim_slot>(membership::slot_count);
    std::unordered_map<std::uint64_t, pending_copy> pending_copies; ///< by send_copy::number
    std::uint64_t last_copy = 0;
    core::mono_time last_pull_at{};
    std::uint32_t next_cleanup_slot = 0; ///< next slot whose expired keys are removed
};

/// Answer the claim that arrived with \p ticket.
struct reply_claim
{
    std::uint64_t ticket = 0;
    ports::claim_reply reply;
};

/// Answer the finish that arrived with \p ticket.
struct reply_finish
{
    std::uint64_t ticket = 0;
    ports::ack reply;
};

/// Call copy_claim at \p to, and pass the result of the call to on_copy_result with the same
/// number.
struct send_copy
{
    std::uint64_t number = 0;
    model::member_record to;
    ports::claim_copy copy;
};

/// Call pull_slots at \p to, and pass this action and the result of the call to on_pull_result.
struct send_pull
{
    model::member_record to;
    ports::slot_pull pull;
};

using claim_action = std::variant<reply_claim, reply_finish, send_copy, send_pull>;
using claim_actions = std::vector<claim_action>;

/// Adopts a newer roster and assigns the slots' roles; ignores an older roster.
claim_actions on_roster(
    claim_table& table, const model::roster_document& roster, core::mono_time now);

/// Handles a claim as the first holder of the key's slot.
/// \param ticket identifies the claim in the reply; chosen by the caller of this function.
/// \param fresh whether this process is fresh at \p now.
claim_actions on_claim(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_request& request,
    bool fresh,
    core::mono_time now);

/// Handles the result of a send_copy, also when the call was refused, timed out or broke.
claim_actions on_copy_result(claim_table& table,
    std::uint64_t number,
    ports::peer_status status,
    const ports::ack& ack,
    bool fresh);

/// Handles a copy as the second holder of the slot.
ports::ack on_copy(claim_table& table, const ports::claim_copy& copy, core::mono_time now);

/// Handles the end of an attempt, as reported by its executor.
claim_actions on_finish(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_finish& finish,
    core::mono_time now);

/// Answers another member's pull with the state of the slots it asked for.
ports::slot_pull_reply on_pull(
    claim_table& table, const ports::slot_pull& pull, core::mono_time now);

/// Handles the result of a send_pull.
claim_actions on_pull_result(claim_table& table,
    const send_pull& sent,
    ports::peer_status status,
    const ports::slot_pull_reply& reply,
    core::mono_time now);

/// Repeats pulls, ends quarantines and removes expired keys. Must be called every 100 to 500 ms.
claim_actions on_tick(claim_table& table, core::mono_time now);

/// \return whether the slot is complete in the adopted epoch, so that claims may be decided here.
bool is_active(const claim_table& table, std::uint32_t slot);

/// \return the number of slots that this member holds but that still wait for their state.
std::size_t waiting_slot_count(const claim_table& table);

/// \return whether a member that left the roster may end its process without the loss of any slot's
/// state.
bool is_handed_over(const claim_table& table);

/// \return the number of keys stored in all slots.
std::size_t stored_key_count(const claim_table& table);

} // namespace camphorhitch::claims
