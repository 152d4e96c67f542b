/// \file
/// What a member remembers of the slots it holds, and what it does with the messages about them:
/// the holders' side of at most once. The reasons are in docs/design/at-most-once.md.
///
/// Two rules carry all others. A statement that a key has *not* run (a grant, "full", "other body")
/// leaves the first holder only after the second acknowledged the same epoch, and from the moment
/// in which either of the two adopts a newer epoch they can't make one any more. A statement that
/// it *may have* run (known) needs nobody's leave: it is true for ever.
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

struct claim_settings
{
    core::millis key_memory{900000};     ///< from an entry's last change
    core::millis permit_ttl{2000};       ///< most time from a claim's request to the send
    core::millis stop_bound{600500};     ///< after an epoch's end, its silent members act no longer
    core::millis longest_request{60000}; ///< a claim older than this is not "running" any more
    core::millis retry_soon{200};        ///< while a slot waits for its state
    core::millis retry_running{1000};    ///< while another attempt is running
    core::millis retry_full{5000};
    core::millis pull_repeat{1000};   ///< between two rounds of asking former holders
    core::millis pull_patience{3000}; ///< then callers are told "quarantined", and rounds get rarer
    int rare_rounds = 5;              ///< times pull_repeat, once patience is over
    std::size_t keys_per_slot = 4000;
    std::size_t answer_kept_bytes = 16384;
    std::size_t answer_bytes_per_slot = 524288; ///< beyond it only the fact is remembered
    std::size_t slots_per_pull = 8;             ///< bounds one message
    std::size_t slots_per_sweep = 16;           ///< slots whose forgotten keys one tick removes
};

/// How long an entry is remembered: a grant may be used as late as permit_ttl after the claim.
core::millis remembered_for(const claim_settings& settings);

/// How long a slot is quarantined when what an epoch granted can't be learnt: until its last grant
/// has certainly been forgotten by everyone.
core::millis quarantine_of(const claim_settings& settings);

/// The answer of a key that ran.
struct remembered_answer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

/// One key.
struct remembered_key
{
    std::uint64_t body_hash = 0;
    std::uint64_t attempt = 0;
    std::uint64_t sequence = 0;    ///< of the first holder that made the last change
    ports::epoch_number epoch = 0; ///< under which it made it
    core::mono_time changed{};
    std::string executor;
    std::shared_ptr<const remembered_answer> answer;
    ports::claim_state state = ports::claim_state::claimed;
};

enum class slot_role
{
    none,
    first,
    second
};

/// What another holder, former or present, said of a slot in this epoch.
struct holder_report
{
    model::member_record who;
    ports::epoch_number complete_through = 0;
    ports::epoch_number refused_through = 0;
    ports::epoch_number quarantined_through = 0;
    core::mono_time quarantine_until{};
};

struct claim_slot
{
    slot_role role = slot_role::none;
    /// The co-holder, unless this member is the only one; without a role, the last one.
    std::optional<model::member_record> other;
    ports::epoch_number complete_through = 0; ///< last epoch in which it was held whole here
    ports::epoch_number quarantined_through = 0;
    core::mono_time quarantine_until{}; ///< then it is whole, for epochs through the above
    bool nobody_left = false;           ///< some epoch has no holder that could still be asked
    bool handed_over = false; ///< since this member's last role, a holder has pulled it from here
    ports::epoch_number other_whole =
        0; ///< last epoch in which the co-holder showed that it is whole
    std::uint64_t sequence = 0;
    std::size_t answer_bytes = 0;
    std::unordered_map<std::string, remembered_key> keys;
    std::vector<holder_report> reports;      ///< of this epoch
    std::vector<model::member_record> gone;  ///< refused our connection in this epoch
    std::vector<model::member_record> asked; ///< in this round
};

/// Why a copy is on its way to the second holder.
enum class copy_purpose
{
    grant,
    refuse_full,
    refuse_other_body,
    finish
};

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

struct claim_table
{
    claim_settings settings;
    model::member_record self;
    model::roster_document roster; ///< adopted; epoch 0: none yet
    core::mono_time adopted_at{};
    std::vector<claim_slot> slots = std::vector<claim_slot>(membership::slot_count);
    std::unordered_map<std::uint64_t, pending_copy> pending; ///< by copy number
    std::uint64_t last_copy = 0;
    core::mono_time pulled_at{};
    std::uint32_t swept = 0; ///< next slot to sweep
};

/// Answer the claim that came with \p ticket.
struct reply_claim
{
    std::uint64_t ticket = 0;
    ports::claim_reply reply;
};

/// Answer the finish that came with \p ticket.
struct reply_finish
{
    std::uint64_t ticket = 0;
    ports::ack reply;
};

/// Call copy_claim at \p to, and hand the end of the call to on_copy_result with the same number.
struct send_copy
{
    std::uint64_t number = 0;
    model::member_record to;
    ports::claim_copy copy;
};

/// Call pull_slots at \p to, and hand this and the end of the call to on_pull_result.
struct send_pull
{
    model::member_record to;
    ports::slot_pull pull;
};

using claim_action = std::variant<reply_claim, reply_finish, send_copy, send_pull>;
using claim_actions = std::vector<claim_action>;

/// Adopts a newer roster; an older one is ignored.
claim_actions on_roster(
    claim_table& table, const model::roster_document& roster, core::mono_time now);

/// \param ticket names the claim in the reply; chosen by the caller of this function.
/// \param fresh whether this process is fresh now.
claim_actions on_claim(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_request& request,
    bool fresh,
    core::mono_time now);

/// The end of a send_copy, also when it was refused, timed out or broke.
claim_actions on_copy_result(claim_table& table,
    std::uint64_t number,
    ports::peer_status status,
    const ports::ack& ack,
    bool fresh);

/// As the second holder.
ports::ack on_copy(claim_table& table, const ports::claim_copy& copy, core::mono_time now);

/// The end of an attempt, told by its executor.
claim_actions on_finish(claim_table& table,
    std::uint64_t ticket,
    const ports::claim_finish& finish,
    core::mono_time now);

/// Tells another member what this one knows of slots.
ports::slot_pull_reply on_pull(
    claim_table& table, const ports::slot_pull& pull, core::mono_time now);

/// The end of a send_pull.
claim_actions on_pull_result(claim_table& table,
    const send_pull& asked,
    ports::peer_status status,
    const ports::slot_pull_reply& reply,
    core::mono_time now);

/// Asks again, ends quarantines, forgets keys. To be called every 100 to 500 ms.
claim_actions on_tick(claim_table& table, core::mono_time now);

/// \return whether the slot is held whole in the adopted epoch, so that claims may be decided here.
bool is_active(const claim_table& table, std::uint32_t slot);

/// \return slots that this member holds but that still wait for their state.
std::size_t waiting_slots(const claim_table& table);

/// \return whether a member that left the roster may end its process: no slot's state would be
/// lost.
bool is_handed_over(const claim_table& table);

/// \return keys remembered in all slots.
std::size_t remembered_keys(const claim_table& table);

} // namespace camphorhitch::claims
