/// \file
/// The owner's side of permits: one pool's queues, targets and permits.
///
/// Events go in with the time, answers for senders come out. An answer names the ask that it is
/// for; the caller of these functions hands it to whoever waits for it, and drops it when nobody
/// does. Every event may answer asks of others, since it may free a slot.
#pragma once

#include "dispatch/run_times.hpp"
#include "dispatch/settings.hpp"
#include "model/fleet.hpp"
#include "ports/platform.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace camphorhitch::dispatch
{

/// One ask for a permit. A sender numbers its asks and repeats an unanswered one by its number.
struct ask_key
{
    std::string member;
    std::string incarnation;
    std::uint64_t request = 0;

    bool operator<(const ask_key& other) const;
    bool operator==(const ask_key&) const = default;
};

struct permit_answer
{
    ask_key to;
    ports::permit_reply reply;
};

using permit_answers = std::vector<permit_answer>;

/// The rules that refuse a permit.
enum class refusal
{
    queue_full,
    deadline,     ///< can't be met: by the measured times the wait alone takes too long
    expired,      ///< the deadline passed while the request waited
    retry_budget, ///< the pool's retries are spent
    no_target,    ///< no host of the pool takes requests
    given_up,     ///< by the sender itself
    not_ready     ///< the owner doesn't know yet what is in flight
};

inline constexpr core::name_table<refusal, 7> refusal_names{{
    {refusal::queue_full, "queue-full"},
    {refusal::deadline, "deadline"},
    {refusal::expired, "expired"},
    {refusal::retry_budget, "retry-budget"},
    {refusal::no_target, "no-target"},
    {refusal::given_up, "given-up"},
    {refusal::not_ready, "not-ready"},
}};

enum class health_state
{
    healthy,
    ejected,   ///< gets single probes only
    recovering ///< gets a number of requests that doubles with each answer
};

struct target_health
{
    health_state state = health_state::healthy;
    int failures_in_a_row = 0;
    double failure_ratio = 0;
    int samples = 0;
    int allowance = 0; ///< most requests at once while recovering
    int answers_since_return = 0;
    core::millis probe_interval{0};
    core::mono_time probe_at; ///< no probe before
    bool probing = false;
};

/// Slots that members who can't be asked may still use at a target.
struct slot_reserve
{
    int slots = 0;
    core::mono_time until;
};

struct target_state
{
    std::string host;
    std::string zone;
    std::string address;
    int slots = 0;
    bool serving = false;                  ///< takes new requests
    std::array<int, class_count> in_use{}; ///< permits by class
    int taken_over = 0;                    ///< permits that an earlier owner gave
    std::vector<slot_reserve> reserves;
    target_health health;
};

struct waiting_request
{
    ask_key key;
    std::string zone;
    ports::request_class klass = ports::request_class::normal;
    core::mono_time arrived;
    core::mono_time deadline;
    core::millis expected{0};
    std::vector<std::string> avoid;
    std::size_t ahead = 0; ///< requests of its class that waited when it came, itself included
};

struct permit_record
{
    std::string host;
    std::optional<ports::request_class> klass; ///< none: given by an earlier owner
    core::mono_time bound;                     ///< whoever holds it has stopped by then
    bool lingering = false;     ///< returned, but the target may still be running the request
    core::mono_time slot_until; ///< while lingering: then its slot is used again
    bool counted = true;        ///< takes a slot of its target
    bool probe = false;
    ports::permit_reply reply;
};

/// Measured times of one class.
struct class_times
{
    run_times run;
    double per_position_us = 0; ///< mean wait per request ahead in the queue; 0: not known
};

struct retry_budget
{
    double tokens = 0;
    core::mono_time filled;
};

/// A member that may hold permits of an earlier owner.
struct permit_holder
{
    std::string member;
    std::string incarnation;
    bool gone = false; ///< its process is proven to have ended
    /// What it held by the last word that anybody has of it.
    std::vector<ports::held_permit> last_reported;
};

/// One process: a member's id and its incarnation.
using process_id = std::pair<std::string, std::string>;

struct take_over_state
{
    std::map<std::string, permit_holder> missing; ///< members whose report is not in, by name
    core::mono_time answers_by;                   ///< a silent member starts nothing from then on
    core::mono_time gone_by; ///< all that was sent under older permits has ended
    /// Members that may hold permits which nobody counted, by name, and until when.
    std::map<process_id, core::mono_time> unheard;
};

/// An ask that is over.
struct closed_ask
{
    core::mono_time until;     ///< then it is forgotten
    ports::permit_reply reply; ///< to a repeat of it
};

/// What happened, for metrics.
struct dispatcher_counters
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0; ///< permits that nobody returned
    std::uint64_t ejections = 0;
    std::uint64_t probes = 0;
};

/// Made by dispatcher_builder. Plain data: only the functions below change it.
struct pool_dispatcher
{
    model::pool_config pool;
    dispatcher_settings settings;
    ports::epoch_number epoch = 0;
    bool hosts_known = false;
    std::uint64_t next_permit = 1;
    std::map<std::string, target_state> targets;
    std::array<std::deque<waiting_request>, class_count> queues;
    std::map<ask_key, permit_record> permits;
    std::map<ask_key, closed_ask> closed; ///< until forgotten
    std::deque<ask_key> closed_order;
    std::array<class_times, class_count> times;
    retry_budget retries;
    take_over_state take_over;
    core::mono_time wake = core::mono_time::max();
    dispatcher_counters counters;
};

class dispatcher_builder
{
public:
    dispatcher_builder& pool(model::pool_config it);
    dispatcher_builder& settings(dispatcher_settings it);
    dispatcher_builder& epoch(ports::epoch_number it);
    /// \param it first number of a permit; numbers must not repeat within the owner's incarnation.
    dispatcher_builder& first_permit(std::uint64_t it);
    std::variant<pool_dispatcher, core::findings> build() const;

private:
    pool_dispatcher made_;
};

/// Takes over the hosts of the pool's document. Only hosts that serve, have a target and are live
/// as far as the live list knows get permits, from this call on.
permit_answers set_hosts(pool_dispatcher& d,
    const model::pool_document& document,
    const ports::live_list& live,
    core::mono_time now);

/// Takes new limits of the same pool; requests that wait stay.
void set_pool(pool_dispatcher& d, const model::pool_config& pool);

/// A newer roster under which the pool's owner is still the same.
void set_epoch(pool_dispatcher& d, ports::epoch_number epoch);

permit_answers on_request(
    pool_dispatcher& d, const ports::permit_request& request, core::mono_time now);

/// A permit came back, or (with permit 0) a sender gave up its ask.
permit_answers on_return(pool_dispatcher& d, const ports::permit_return& back, core::mono_time now);

/// \param proven the process is certainly gone; otherwise it is only silent.
permit_answers on_member_lost(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    bool proven,
    core::mono_time now);

/// To be called at next_wakeup or later.
permit_answers on_tick(pool_dispatcher& d, core::mono_time now);

/// \return when on_tick has something to do, at the earliest; max(): never.
core::mono_time next_wakeup(const pool_dispatcher& d);

/// What may be in flight at a host.
struct host_use
{
    int permits = 0;      ///< outstanding, unreturned and lingering ones too
    int reserved = 0;     ///< for members that can't be asked
    bool unknown = false; ///< others may hold permits that nobody counted
};

host_use outstanding_on(const pool_dispatcher& d, const std::string& host, core::mono_time now);

/// \return whether nothing is in flight at the host and nobody can send to it. Holds for good only
/// for a host that this dispatcher was told not to use.
bool is_quiet(const host_use& use);

/// Requests that wait, by class.
std::size_t waiting(const pool_dispatcher& d, ports::request_class klass);

/// \return idle connections that each of \p members entry hosts may keep to a target, so that all
/// of them together stay within the target's connections when all its slots are in use too.
int idle_connections(const model::host_record& host, std::size_t members);

} // namespace camphorhitch::dispatch
