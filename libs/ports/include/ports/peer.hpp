/// \file
/// Port between the system's own processes: typed messages and the two sides of each call.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

/// The class of a request, the most urgent first.
enum class request_class : std::uint8_t
{
    quick,
    normal,
    long_running
};

/// Number of the roster document's version under which a message was sent.
using epoch_number = std::uint64_t;

// ---- membership, configuration and freshness ----

struct heartbeat
{
    std::string member;
    std::string incarnation;
    epoch_number epoch = 0;                ///< newest roster adopted
    std::int64_t config_version = 0;       ///< newest configuration in force here
    bool store_reachable = false;          ///< the key-value service confirmed us lately
    bool fresh = false;                    ///< the sender is fresh by its own rule
    std::int64_t sequence = 0;             ///< of the sender, to match the reply
    std::vector<std::string> silent_peers; ///< members that the sender has not heard for too long
    /// Attached only for a peer that was seen to be behind.
    std::string roster_document;
    std::string config_document;
};

// ---- permits: the right to send one request to one target ----

struct permit_request
{
    epoch_number epoch = 0;
    std::string member;        ///< who will send
    std::string incarnation;   ///< of that member
    std::uint64_t request = 0; ///< unique within the incarnation
    std::string pool;
    std::string zone; ///< the sender's, preferred
    request_class klass = request_class::normal;
    core::millis time_left{0};
    core::millis expected{0};       ///< expected run time; 0: not known
    std::vector<std::string> avoid; ///< hosts that failed this request already
    bool retry = false;
};

enum class permit_verdict : std::uint8_t
{
    granted,
    refused,     ///< certainly not run; see reason and retry_after
    wrong_owner, ///< ask the owner of a newer roster
    not_ready    ///< the owner is still collecting reports after a take-over
};

struct permit_reply
{
    permit_verdict verdict = permit_verdict::refused;
    std::uint64_t permit = 0; ///< unique within the owner's incarnation
    std::string host;
    std::string address; ///< of the target, "ip:port"
    std::string reason;  ///< the rule that decided
    core::millis retry_after{0};
    core::millis waited{0}; ///< at the owner from the ask's arrival to the grant, rounded down
};

enum class permit_outcome : std::uint8_t
{
    unused,   ///< nothing was sent
    answered, ///< the target answered
    failed,   ///< the target answered with a failure of its own, or could not be reached
    silent    ///< sent, and no answer came
};

struct permit_return
{
    std::string member;
    std::string incarnation;
    std::uint64_t request = 0;
    std::uint64_t permit = 0;
    std::string pool;
    std::string host;
    permit_outcome outcome = permit_outcome::unused;
    core::micros elapsed{0};
};

/// Permits held by a member, told to a new owner of their pool.
struct held_permit
{
    std::string pool;
    std::string host;
    std::uint64_t request = 0;
    core::millis age{0};
};

struct held_query
{
    epoch_number epoch = 0;
    std::string member; ///< who asks
    std::vector<std::string> pools;
};

struct held_reply
{
    epoch_number epoch = 0;  ///< adopted by the replier; permits of older owners are refused since
    std::string member;      ///< the replier; another process at the same address proves nothing
    std::string incarnation; ///< of that member
    std::vector<held_permit> permits;
};

// ---- claims: at most once for requests with an idempotency key ----

enum class claim_state : std::uint8_t
{
    claimed, ///< an executor may be running it
    done,    ///< ran, and its answer is remembered
    unknown, ///< may have run; never runs again while remembered
    released ///< its attempt was never sent and never will be; another attempt may claim the key
};

struct claim_entry
{
    std::string key;
    std::uint64_t body_hash = 0;
    claim_state state = claim_state::claimed;
    std::string executor; ///< member/incarnation
    std::uint64_t attempt = 0;
    core::millis age{0};
    int status = 0; ///< of the remembered answer
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool answer_kept = false;   ///< false: too large to remember, only that it ran
    epoch_number epoch = 0;     ///< of the first holder that changed the entry last
    std::uint64_t sequence = 0; ///< counts that holder's changes; (epoch, sequence) tells the newer
};

struct claim_request
{
    epoch_number epoch = 0;
    std::string key;
    std::uint64_t body_hash = 0;
    std::string executor;
    std::uint64_t attempt = 0; ///< unique within the executor
};

enum class claim_verdict : std::uint8_t
{
    granted,     ///< the executor, and nobody else, may send it
    known,       ///< see entry: done, unknown, or claimed by another attempt
    other_body,  ///< the same key came with another body
    wrong_epoch, ///< ask by a newer roster
    not_ready,   ///< the slot has not heard from a former holder yet
    quarantined, ///< both former holders are lost; an earlier run can't be ruled out
    full         ///< no room to remember one more key
};

struct claim_reply
{
    claim_verdict verdict = claim_verdict::not_ready;
    claim_entry entry;
    core::millis retry_after{0};
};

/// The end of an attempt, from its executor to the slot's holders.
struct claim_finish
{
    epoch_number epoch = 0;
    std::string key;
    std::string executor;
    std::uint64_t attempt = 0;
    bool not_run = false; ///< the claim is released: it was never sent
    claim_entry entry;    ///< state done or unknown otherwise
};

/// From a slot's first holder to its second: remember this, if the epoch still stands. With an
/// empty key it only asks whether the epoch still stands.
struct claim_copy
{
    epoch_number epoch = 0;
    std::uint32_t slot = 0;
    bool erase = false;
    claim_entry entry;
};

/// What a member knows of one slot.
struct slot_state
{
    std::uint32_t slot = 0;
    epoch_number complete_through = 0; ///< last epoch in which it held the slot whole; 0: never
    epoch_number refused_through = 0;  ///< promises to accept no copy of this or an older epoch
    /// After quarantine_left, what was granted through this epoch is forgotten or among the
    /// entries.
    epoch_number quarantined_through = 0;
    core::millis quarantine_left{0};
    std::vector<claim_entry> entries;
};

struct slot_pull
{
    epoch_number epoch = 0;
    std::string member;
    std::vector<std::uint32_t> slots;
};

struct slot_pull_reply
{
    bool adopted = false;    ///< the replier has adopted that epoch; without it the reply is void
    std::string member;      ///< the replier; another process at the same address proves nothing
    std::string incarnation; ///< of that member
    std::vector<slot_state> slots;
};

/// Asks a peer for its recorded decisions about one request, job or host.
struct explain_query
{
    std::string kind;
    std::string id;
};

struct explain_reply
{
    std::vector<std::string> lines;
};

/// How a call to a peer ended, beside its reply.
enum class peer_status
{
    ok,
    refused,    ///< connection refused: no process listens at that address any more
    unreachable ///< timed out or broken; the call may have had its effect
};

template <class Reply>
using peer_callback = std::function<void(peer_status, Reply)>;

struct ack
{
    bool accepted = false;
};

/// The calling side; \p address is "ip:port".
struct peer_client
{
    template <class Request, class Reply>
    using call = std::function<void(std::string address, Request, peer_callback<Reply>)>;

    call<heartbeat, heartbeat> beat;
    call<permit_request, permit_reply> request_permit;
    call<std::vector<permit_return>, ack> return_permits;
    call<held_query, held_reply> query_held;
    call<claim_request, claim_reply> claim;
    call<claim_finish, ack> finish_claim;
    call<claim_copy, ack> copy_claim;
    call<slot_pull, slot_pull_reply> pull_slots;
    call<explain_query, explain_reply> explain;
};

/// The answering side. Each handler answers once, now or later, through its callback.
struct peer_handlers
{
    template <class Request, class Reply>
    using handler = std::function<void(Request, std::function<void(Reply)>)>;

    handler<heartbeat, heartbeat> beat;
    handler<permit_request, permit_reply> request_permit;
    handler<std::vector<permit_return>, ack> return_permits;
    handler<held_query, held_reply> query_held;
    handler<claim_request, claim_reply> claim;
    handler<claim_finish, ack> finish_claim;
    handler<claim_copy, ack> copy_claim;
    handler<slot_pull, slot_pull_reply> pull_slots;
    handler<explain_query, explain_reply> explain;
};

} // namespace camphorhitch::ports
