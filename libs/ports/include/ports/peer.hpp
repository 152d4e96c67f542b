/// \file
/// Port between the members of the system: typed messages, and the two sides of each call.
///
/// A member is one process of the system; its incarnation changes with each restart. The owner of
/// a pool is the member that dispatches its requests. The holders of a slot are the two members
/// that remember the claims of its keys. A roster names the members, and its version is the epoch.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::ports
{

/// The class of a request, beginning with the most urgent one.
enum class request_class : std::uint8_t
{
    quick,
    normal,
    long_running
};

/// Version of the roster document under which a message was sent.
using epoch_number = std::uint64_t;

// ---- membership, configuration and freshness ----

struct heartbeat
{
    std::string member;
    std::string incarnation;
    epoch_number epoch = 0;          ///< newest roster that the sender has adopted
    std::int64_t config_version = 0; ///< newest configuration in force at the sender
    bool store_reachable = false;    ///< the key-value service has answered the sender recently
    bool fresh = false;              ///< the sender considers itself fresh
    std::int64_t sequence = 0;       ///< chosen by the sender to match the reply
    std::vector<std::string> unresponsive_peers; ///< members whose messages are overdue
    /// The documents are attached only for a peer whose versions are older.
    std::string roster_document;
    std::string config_document;
};

// ---- permits: the right to send one request to one target ----

struct permit_request
{
    epoch_number epoch = 0;
    std::string member;        ///< the member that will send the request
    std::string incarnation;   ///< incarnation of that member
    std::uint64_t request = 0; ///< unique within the incarnation
    std::string pool;
    std::string zone; ///< zone of the sender; targets in it are preferred
    request_class klass = request_class::normal;
    core::millis time_left{0};         ///< until the deadline of the request
    core::millis expected_run_time{0}; ///< expected run time; 0: unknown
    std::vector<std::string> avoid;    ///< hosts on which this request has already failed
    bool retry = false;                ///< an earlier attempt was made
};

enum class permit_verdict : std::uint8_t
{
    granted,
    refused,     ///< the request certainly does not run; see reason and retry_after
    wrong_owner, ///< the replier does not own the pool; ask the owner in a newer roster
    not_ready    ///< the owner is still collecting the held permits after a takeover
};

struct permit_reply
{
    permit_verdict verdict = permit_verdict::refused;
    std::uint64_t permit = 0; ///< unique within the owner's incarnation
    std::string host;
    std::string address; ///< of the target, "ip:port"
    std::string reason;  ///< name of the rule that decided
    core::millis retry_after{0};
    core::millis waited{0}; ///< from the request's arrival at the owner to the grant, rounded down
};

enum class permit_outcome : std::uint8_t
{
    unused,    ///< nothing was sent
    answered,  ///< the target answered
    failed,    ///< the target answered with a failure of its own, or could not be reached
    unanswered ///< the request was sent, and the target did not answer
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
    core::micros elapsed{0}; ///< from sending the request to its outcome
};

/// A permit held by a member, reported to a new owner of its pool.
struct held_permit
{
    std::string pool;
    std::string host;
    std::uint64_t request = 0;
    core::millis age{0}; ///< time since the request was sent
};

struct held_query
{
    epoch_number epoch = 0;
    std::string member; ///< the member that asks
    std::vector<std::string> pools;
};

struct held_reply
{
    /// Epoch that the replier has adopted. From then on it refuses permits of earlier owners.
    epoch_number epoch = 0;
    std::string member;      ///< id of the replier, to detect another process at its address
    std::string incarnation; ///< incarnation of the replier
    std::vector<held_permit> permits;
};

// ---- claims: requests with an idempotency key run at most once ----

enum class claim_state : std::uint8_t
{
    claimed, ///< an executor may be running the request
    done,    ///< the request ran, and its answer is remembered
    unknown, ///< the request may have run; it does not run again while the entry exists
    released ///< the attempt was not and will not be sent; another attempt may claim the key
};

struct claim_entry
{
    std::string key;
    std::uint64_t body_hash = 0;
    claim_state state = claim_state::claimed;
    std::string executor; ///< "member/incarnation"
    std::uint64_t attempt = 0;
    core::millis age{0}; ///< time since the last change of the entry
    int status = 0;      ///< HTTP status of the remembered answer
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool answer_kept = false;   ///< false: the answer was too large to keep
    epoch_number epoch = 0;     ///< epoch in which the first holder last changed the entry
    std::uint64_t sequence = 0; ///< counts that holder's changes; a newer entry has a higher
                                ///< (epoch, sequence)
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
    granted,     ///< this executor alone may send the request
    known,       ///< the key exists, see entry: done, unknown, or claimed by another attempt
    other_body,  ///< the key was used with another body
    wrong_epoch, ///< the roster of the request is outdated; ask again under a newer one
    not_ready,   ///< the slot has not received the state of its previous holders yet
    quarantined, ///< both previous holders are lost; an earlier run can't be ruled out
    full         ///< the slot can't remember another key
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
    bool not_run = false; ///< true: the attempt was never sent, and the claim is released
    claim_entry entry;    ///< when not_run is false: the new entry, in state done or unknown
};

/// Copies a changed entry from a slot's first holder to its second one, which accepts it only in
/// the same epoch. With an empty key, the message only asks whether the epoch is still the same.
struct claim_copy
{
    epoch_number epoch = 0;
    std::uint32_t slot = 0;
    bool erase = false; ///< the entry is removed instead of stored
    claim_entry entry;
};

/// The state of one slot at one member.
struct slot_state
{
    std::uint32_t slot = 0;
    epoch_number complete_through = 0; ///< last epoch in which it had all entries; 0: never
    epoch_number refused_through = 0;  ///< it accepts no copy of this or an older epoch
    /// Claims granted up to this epoch may be missing from the entries until quarantine_left has
    /// passed. After that time they have expired.
    epoch_number quarantined_through = 0;
    core::millis quarantine_left{0};
    std::vector<claim_entry> entries;
};

/// Asks another member for its state of some slots.
struct slot_pull
{
    epoch_number epoch = 0;
    std::string member;
    std::vector<std::uint32_t> slots;
};

struct slot_pull_reply
{
    bool adopted = false;    ///< the replier has adopted the epoch; false: the reply is void
    std::string member;      ///< id of the replier, to detect another process at its address
    std::string incarnation; ///< incarnation of the replier
    std::vector<slot_state> slots;
};

/// Asks a peer for its recorded decisions about one request, job or host.
struct explain_query
{
    std::string kind; ///< kind of the object, for example "host"
    std::string id;
};

struct explain_reply
{
    std::vector<std::string> lines;
};

/// How a call to a peer ended.
enum class peer_status
{
    ok,
    refused,    ///< connection refused: no process listens at that address
    unreachable ///< timed out or disconnected; the call may have taken effect
};

template <class Reply>
using peer_callback = std::function<void(peer_status, Reply)>;

struct ack
{
    bool accepted = false;
};

/// The calling side. \p address is "ip:port".
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

/// The answering side. Each handler replies exactly once through its callback, immediately or
/// later.
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
