/// \file
/// The owner's side of permits: the queues, targets and permits of one pool. A sender (an entry
/// host) requests a permit from the pool's owner before it sends a request to a target.
///
/// Each function takes an event with its time and returns answers for senders. An answer names the
/// permit request that it is for. The code that calls these functions delivers each answer to the
/// sender that waits for it, and discards the answer when no sender waits. Any event may answer
/// requests of other senders, because it may free a slot.
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

/// Identifies one permit request. A sender numbers its permit requests and repeats an unanswered
/// one under the same number.
struct permit_request_key
{
    std::string member;
    std::string incarnation;
    std::uint64_t request = 0; ///< number of the request; unique within the incarnation

    bool operator<(const permit_request_key& other) const;
    bool operator==(const permit_request_key&) const = default;
};

/// An answer to one permit request.
struct permit_answer
{
    permit_request_key to;
    ports::permit_reply reply;
};

using permit_answers = std::vector<permit_answer>;

/// The rules by which a permit is refused.
enum class refusal
{
    queue_full,
    deadline,     ///< by the measured times, the deadline can't be met
    expired,      ///< the deadline passed, or can't be met any more, while the request waited
    retry_budget, ///< the pool's budget of retries is used up
    no_target,    ///< no host of the pool takes requests
    withdrawn, ///< the sender withdrew the request, or its permit has been returned or has expired
    not_ready  ///< the owner does not have a complete count of the permits in use yet
};

inline constexpr core::name_table<refusal, 7> refusal_names{{
    {refusal::queue_full, "queue-full"},
    {refusal::deadline, "deadline"},
    {refusal::expired, "expired"},
    {refusal::retry_budget, "retry-budget"},
    {refusal::no_target, "no-target"},
    {refusal::withdrawn, "given-up"},
    {refusal::not_ready, "not-ready"},
}};

enum class health_state
{
    healthy,
    ejected,   ///< gets one probe request at a time only
    recovering ///< the number of requests allowed at once doubles with each answer
};

/// Passive health of one target, derived from the outcomes of its requests.
struct target_health
{
    health_state state = health_state::healthy;
    int failures_in_a_row = 0;
    double failure_ratio = 0;     ///< exponentially weighted share of failed requests, from 0 to 1
    int samples = 0;              ///< number of requests in failure_ratio
    int allowance = 0;            ///< maximum number of requests at once while recovering
    int answers_since_return = 0; ///< successful requests since the last ejection ended
    core::millis probe_interval{0}; ///< current time between probes; 0: not ejected recently
    core::mono_time probe_at;       ///< earliest time of the next probe
    bool probing = false;           ///< a probe is in flight
};

/// Slots of a target that members without a report may still be using.
struct slot_reservation
{
    int slots = 0;
    core::mono_time until; ///< when the reservation ends
};

/// One target of the pool.
struct target_state
{
    std::string host;
    std::string zone;
    std::string address;                   ///< "ip:port"
    int slots = 0;                         ///< maximum number of requests at once
    bool serving = false;                  ///< takes new requests
    std::array<int, class_count> in_use{}; ///< number of permits that hold a slot, by class
    int inherited = 0; ///< number of permits of a previous owner that hold a slot
    std::vector<slot_reservation> reservations;
    target_health health;
};

/// A permit request in the queue.
struct waiting_request
{
    permit_request_key key;
    std::string zone;
    ports::request_class klass = ports::request_class::normal;
    core::mono_time arrived;
    core::mono_time deadline;
    core::millis expected{0};       ///< run time that the caller expects; 0: not given
    std::vector<std::string> avoid; ///< hosts at which the request failed before
    std::size_t queue_position = 0; ///< position in the queue of its class on arrival, from 1
};

/// One permit that has been granted and may still be in use.
struct permit_record
{
    std::string host;
    std::optional<ports::request_class> klass; ///< nullopt: granted by a previous owner
    core::mono_time expires_at;   ///< the target has certainly stopped the request by then
    bool may_still_run = false;   ///< returned, but the target may still be running the request
    core::mono_time slot_free_at; ///< when the slot is granted again, while may_still_run is set
    bool holds_slot = true;       ///< holds a slot of its target
    bool probe = false;           ///< the request is a health probe
    ports::permit_reply reply;    ///< answer to a repeated permit request
};

/// Measured times of one class.
struct class_times
{
    run_times run;
    double per_position_us = 0; ///< mean wait per queue position, in microseconds; 0: not known
};

/// Token bucket that limits retries.
struct retry_budget
{
    double tokens = 0;      ///< retries available now
    core::mono_time filled; ///< time of the last refill
};

/// A member that may hold permits of a previous owner.
struct permit_holder
{
    std::string member;
    std::string incarnation;
    bool process_ended = false; ///< its process is proven to have ended
    /// The permits that the member held by its last known report.
    std::vector<ports::held_permit> last_reported;
};

/// One process: a member's id and its incarnation.
using process_id = std::pair<std::string, std::string>;

/// State of the takeover of the pool by this owner.
struct take_over_state
{
    /// Members that have not reported yet, by id.
    std::map<std::string, permit_holder> missing_reports;
    /// From this time on, a member that has not reported sends no request under an old permit.
    core::mono_time report_deadline;
    core::mono_time in_flight_until; ///< when every request sent under an old permit has ended
    /// Processes that may hold permits which the owner has not counted, and until when they may.
    std::map<process_id, core::mono_time> uncounted_until;
};

/// A permit request that has been completed, so that a repeat gets the same answer.
struct closed_request
{
    core::mono_time until;     ///< when this record is removed
    ports::permit_reply reply; ///< answer to a repeat
};

/// Event counts for metrics.
struct dispatcher_counters
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0; ///< permits that were not returned before they expired
    std::uint64_t ejections = 0;
    std::uint64_t probes = 0;
};

/// State of one pool's dispatcher, built by dispatcher_builder. It is plain data, which only the
/// functions below change.
struct pool_dispatcher
{
    model::pool_config pool;
    dispatcher_settings settings;
    ports::epoch_number epoch = 0;
    bool hosts_known = false; ///< set_hosts() has been called
    std::uint64_t next_permit = 1;
    std::map<std::string, target_state> targets;                 ///< by host
    std::array<std::deque<waiting_request>, class_count> queues; ///< by class
    std::map<permit_request_key, permit_record> permits;
    std::map<permit_request_key, closed_request> closed_requests; ///< completed permit requests
    std::deque<permit_request_key> closed_order; ///< keys of the completed requests, oldest first
    std::array<class_times, class_count> times;  ///< by class
    retry_budget retries;
    take_over_state take_over;
    /// When on_tick() is due; max(): never.
    core::mono_time next_wakeup_at = core::mono_time::max();
    dispatcher_counters counters;
};

/// Builds the dispatcher of one pool.
class dispatcher_builder
{
public:
    dispatcher_builder& pool(model::pool_config it);
    dispatcher_builder& settings(dispatcher_settings it);
    dispatcher_builder& epoch(ports::epoch_number it);
    /// \param it number of the first permit, above 0. Numbers must not repeat within the owner's
    /// incarnation.
    dispatcher_builder& first_permit(std::uint64_t it);
    /// \return the dispatcher, or one finding for each invalid setting.
    std::variant<pool_dispatcher, core::findings> build() const;

private:
    pool_dispatcher built_;
};

/// Updates the targets from the pool's document. From this call on, permits are granted only for
/// hosts that serve, have a target and are not shown as down or leaving by the live list.
permit_answers set_hosts(pool_dispatcher& d,
    const model::pool_document& document,
    const ports::live_list& live,
    core::mono_time now);

/// Sets new limits of the same pool. Waiting requests stay in their queues.
void set_pool(pool_dispatcher& d, const model::pool_config& pool);

/// Sets the epoch of a newer roster under which the pool's owner is still the same.
void set_epoch(pool_dispatcher& d, ports::epoch_number epoch);

/// Handles a permit request. The answer is among the returned ones, unless the request waits in the
/// queue.
permit_answers on_request(
    pool_dispatcher& d, const ports::permit_request& request, core::mono_time now);

/// Handles the return of a permit or, if permit is 0, the withdrawal of a permit request.
permit_answers on_return(pool_dispatcher& d, const ports::permit_return& back, core::mono_time now);

/// Handles the loss of a member's process.
/// \param proven whether the process has certainly ended; otherwise it only does not answer.
permit_answers on_member_lost(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    bool proven,
    core::mono_time now);

/// Handles everything that is due by time. Must be called at next_wakeup() or later.
permit_answers on_tick(pool_dispatcher& d, core::mono_time now);

/// \return the earliest time at which on_tick() has something to do; max(): never.
core::mono_time next_wakeup(const pool_dispatcher& d);

/// Work that may be in flight at a host.
struct host_use
{
    int permits = 0;        ///< outstanding permits, and returned ones whose request may still run
    int reserved = 0;       ///< slots reserved for members without a report
    bool uncounted = false; ///< members may hold permits that are not counted here
};

/// \return the work that may be in flight at \p host.
host_use outstanding_on(const pool_dispatcher& d, const std::string& host, core::mono_time now);

/// \return whether it is certain that nothing is in flight at the host and that no member can send
/// to it. This stays true only for a host that set_hosts() has taken out of service.
bool is_certainly_idle(const host_use& use);

/// \return the number of waiting requests of class \p klass.
std::size_t waiting(const pool_dispatcher& d, ports::request_class klass);

/// \return the number of idle connections that each of \p members entry hosts may keep to a target.
/// Together with one connection for each slot, they stay within the target's connection limit.
int idle_connections(const model::host_record& host, std::size_t members);

} // namespace camphorhitch::dispatch
