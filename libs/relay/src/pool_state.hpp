/// \file
/// The pool's state: relays with their connections, orders under way.
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

/// Time in which the own loop ran: a lagging loop has not read what came, and must not take its own
/// lag for the silence of others. A gap between two ticks counts for a bounded time only.
struct loop_clock
{
    core::millis elapsed{0};
    core::mono_time ticked_at;

    void advance(core::mono_time now, core::millis most);
};

enum class relay_state
{
    idle, ///< not connected; tried again at its time
    connecting,
    well
};

struct relay_entry
{
    ports::relay_endpoint place;
    relay_state state = relay_state::idle;
    bool listed = true;
    bool leaving = false; ///< asked for no new orders
    bool tried = false;   ///< since the term began
    std::shared_ptr<channel> wire;
    std::uint64_t received = 0; ///< of the channel, when it was last heard of
    core::millis heard_at{0};   ///< loop_clock
    core::millis sent_at{0};
    core::millis retry_at{0};
    core::millis pause{0};     ///< before the next try
    std::vector<order> orders; ///< gathered in this turn of the loop
};

using order_callback = std::variant<std::function<void(ports::runner_answer)>,
    std::function<void(ports::poll_answer)>>;

/// An order that was handed to a relay.
struct order_under_way
{
    std::string member;
    std::string runner;
    order_callback done;
    std::uint64_t bytes_before = 0; ///< of its connection, queued before its frame
    bool framed = false;            ///< bytes_before is known
    core::millis deadline{0};       ///< loop_clock
};

/// The relay through which a runner did not answer lately.
struct avoided_relay
{
    std::string member;
    core::millis until{0}; ///< loop_clock
};

/// An order that has not been given to anybody yet.
struct waiting_order
{
    ports::runner_ref to;
    order_body body;
    order_callback done;
};

/// How many orders ended with each verdict.
using verdict_counts = std::array<std::uint32_t, ports::runner_verdict_names.size()>;

/// Orders of a relay that was lost.
struct lost_orders
{
    std::size_t unknown = 0;
    std::size_t not_sent = 0;
};

struct pool_state : std::enable_shared_from_this<pool_state>
{
    pool_parts parts;
    pool_settings settings;
    ports::scheduler time;
    loop_clock clock;
    ports::timer_id timer = 0;
    bool active = false;
    bool needed = false; ///< there are runners enough
    bool listed = false; ///< the list of relays is known
    bool flushing = false;
    core::millis settle_until{0};
    std::uint64_t last_number = 0;
    std::map<std::string, relay_entry> relays; ///< by member
    std::unordered_map<std::uint64_t, order_under_way> under_way;
    std::vector<waiting_order> waiting;
    std::deque<waiting_order> waiting_locally;            ///< for this node's own calls
    std::map<std::uint64_t, core::mono_time> local_calls; ///< under way, when they were sent
    std::uint64_t last_local_call = 0;
    bool calling_locally = false;
    std::unordered_map<std::string, core::millis> polled; ///< runners, when
    route_table routes;
    std::unordered_map<std::string, avoided_relay> avoided; ///< by runner
    verdict_counts relayed{};                               ///< since the last tick
    verdict_counts made_locally{};

    // pool.cpp
    void submit(waiting_order o);
    bool goes_at_once() const;
    void gather();
    void flush();
    bool settling() const;
    void count_runner(const std::string& id);
    relay_entry* route(const ports::runner_ref& to);
    void avoid(const order_under_way& it);
    void give(waiting_order o);
    void make_locally(waiting_order o);
    void make_local_calls();
    std::size_t local_calls_awaited() const;
    void call_locally(waiting_order o);
    void refuse_waiting();
    static void refuse(const waiting_order& o);
    void send_orders(relay_entry& r);
    void send_part(relay_entry& r, const order_batch& part);
    void take(const std::string& member, std::string_view frame);
    void answer_order(const answer& a, const std::string& member);
    void finish(std::uint64_t number, ports::runner_verdict how);
    void report_counts(const char* way, verdict_counts& counts) const;

    // pool_relays.cpp
    void set_relays(std::vector<ports::relay_endpoint> all);
    void tick();
    void connect_due();
    void connect(relay_entry& r);
    void note_heard(relay_entry& r);
    void drop_silent();
    void send_heartbeats();
    void time_out_orders();
    void lose(const std::string& member, const std::string& why);
    lost_orders disconnect(relay_entry& r);
    void forget_runners();
    void forget_avoided();
    void begin();
    void end();
    void close_all();
    void tell_under_way() const;
};

} // namespace camphorhitch::relay
