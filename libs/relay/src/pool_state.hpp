/// \file
/// State of the relay pool: relays with their connections, and orders in flight.
#pragma once

#include "channel.hpp"
#include "messages.hpp"
#include "relay/pool.hpp"
#include "route_table.hpp"

#include <array>
#include <deque>
#include <map>
#include <unordered_map>

namespace camphorhitch::relay
{

/// Measures the time during which the local event loop ran. A lagging loop has not read the data
/// that arrived, and its lag must not be mistaken for unresponsive relays. Therefore only a bounded
/// part of the time between two ticks counts.
struct active_clock
{
    core::millis elapsed{0};
    core::mono_time last_tick_at;

    void advance(core::mono_time now, core::millis max_gap);
};

/// State of the connection to a relay.
enum class relay_state
{
    idle, ///< not connected; the next attempt is made at retry_at
    connecting,
    ready ///< connected, and the first frame has arrived
};

/// A relay, its connection and its orders to be sent.
struct relay_entry
{
    ports::relay_endpoint endpoint;
    relay_state state = relay_state::idle;
    bool is_listed = true;
    bool leaving = false;              ///< the relay has asked to receive no further orders
    bool reads_term_token = false;     ///< as answer_batch::reads_term_token
    bool connection_attempted = false; ///< a connection was attempted in this term
    std::shared_ptr<channel> connection;
    /// The value of receive_count() of the connection when the relay was last heard.
    std::uint64_t receive_count = 0;
    core::millis last_heard{0};  ///< active_clock time
    core::millis last_sent{0};   ///< active_clock time
    core::millis retry_at{0};    ///< active_clock time
    core::millis retry_delay{0}; ///< delay before the next connection attempt
    std::vector<order> orders;   ///< orders collected in this iteration of the event loop
};

/// The callback of an order, which receives its answer.
using order_callback = std::variant<std::function<void(ports::runner_answer)>,
    std::function<void(ports::poll_answer)>>;

/// An order that was assigned to a relay and has no answer yet.
struct order_in_flight
{
    std::string member;
    std::string runner;
    order_callback done;
    /// Bytes queued on the connection before the order's frame.
    std::uint64_t bytes_queued_before = 0;
    bool framed = false;      ///< the frame was queued, and its offset is known
    core::millis deadline{0}; ///< active_clock time
};

/// The relay through which a runner did not answer recently.
struct avoided_relay
{
    std::string member;
    core::millis until{0}; ///< active_clock time
};

/// An order that is not assigned to a relay or a local call yet.
struct waiting_order
{
    ports::runner_ref to;
    order_body body;
    order_callback done;
};

/// Number of orders by verdict.
using verdict_counts = std::array<std::uint32_t, ports::runner_verdict_names.size()>;

/// Number of orders that ended because their relay was lost, by verdict.
struct lost_order_counts
{
    std::size_t unknown = 0;
    std::size_t not_sent = 0;
};

struct pool_state : std::enable_shared_from_this<pool_state>
{
    pool_parts parts;
    pool_settings settings;
    ports::scheduler time;
    active_clock clock;
    ports::timer_id timer = 0;
    bool active = false;
    std::int64_t term_token = 0;   ///< first fencing token of this term
    bool relays_needed = false;    ///< there are at least min_runners runners
    bool relay_list_known = false; ///< the list of relays was received in this term
    bool flush_scheduled = false;
    core::millis connect_wait_until{0};
    std::uint64_t last_number = 0;
    std::map<std::string, relay_entry> relays; ///< key: member
    std::unordered_map<std::uint64_t, order_in_flight> orders_in_flight;
    std::vector<waiting_order> waiting_orders;
    std::deque<waiting_order> waiting_local_orders; ///< queue of local calls
    /// Start times of the local calls in flight, by call number.
    std::map<std::uint64_t, core::mono_time> local_calls;
    std::uint64_t last_local_call_number = 0;
    bool starting_local_calls = false;
    /// Time of the last poll on the active clock, by runner.
    std::unordered_map<std::string, core::millis> polled_at;
    route_table routes;
    std::unordered_map<std::string, avoided_relay> avoided_relays; ///< key: runner
    verdict_counts relayed_verdicts{}; ///< relayed orders since the last tick
    verdict_counts local_verdicts{};   ///< local calls since the last tick

    // pool.cpp
    void submit(waiting_order o);
    bool should_call_immediately() const;
    void schedule_flush();
    void flush();
    bool is_waiting_for_connections() const;
    void record_poll(const std::string& id);
    relay_entry* route(const waiting_order& o);
    void avoid_relay(const order_in_flight& it);
    void assign_order(waiting_order o);
    void queue_local_call(waiting_order o);
    void start_local_calls();
    std::size_t recent_local_calls() const;
    void call_runner(waiting_order o);
    void end_waiting_orders();
    static void end_as_not_sent(const waiting_order& o);
    void send_orders(relay_entry& r);
    void send_batch(relay_entry& r, const order_batch& part);
    void handle_frame(const std::string& member, std::string_view frame);
    void handle_answer(const answer& a, const std::string& member);
    void end_order(std::uint64_t number, ports::runner_verdict verdict);
    void report_counts(const char* way, verdict_counts& counts) const;

    // pool_relays.cpp
    void set_relays(std::vector<ports::relay_endpoint> all);
    void tick();
    void connect_due();
    void connect(relay_entry& r);
    void record_heard(relay_entry& r);
    void disconnect_unresponsive();
    void send_heartbeats();
    void time_out_orders();
    void handle_lost_relay(const std::string& member, const std::string& reason);
    lost_order_counts disconnect(relay_entry& r);
    void remove_expired_runners();
    void remove_expired_avoidances();
    void begin(std::int64_t token);
    void end();
    void close_all();
    void report_orders_in_flight() const;
};

} // namespace camphorhitch::relay
