#include "pool_state.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace camphorhitch::relay
{

using ports::log_level;
using ports::runner_verdict;

namespace
{

/// Number of tick intervals that count of the time between two ticks.
constexpr int max_counted_ticks = 2;

} // namespace

void active_clock::advance(core::mono_time now, core::millis max_gap)
{
    const auto gap = std::chrono::duration_cast<core::millis>(now - last_tick_at);
    elapsed += std::clamp(gap, core::millis{0}, max_gap);
    last_tick_at = now;
}

void pool_state::begin(std::int64_t token)
{
    close_all();
    active = true;
    term_token = token;
    relays_needed = false;
    relay_list_known = false;
    polled_at.clear();
    clock.last_tick_at = time.now();
    time.cancel(timer);
    timer = time.after(settings.tick_interval, [this] { tick(); });
}

/// May be called from an order's callback while another function iterates over the relays, so the
/// connections are closed in a later iteration of the event loop.
void pool_state::end()
{
    active = false;
    time.cancel(timer);
    timer = 0;
    routes = {};
    end_waiting_orders(); // the orders of this term must not be sent in a later one
    time.post(
        [weak = weak_from_this()]
        {
            const auto self = weak.lock();
            if (self && !self->active)
            {
                self->close_all();
            }
        });
}

void pool_state::close_all()
{
    lost_order_counts sum;
    std::size_t closed = 0;
    for (auto& [member, r] : relays)
    {
        closed += r.state != relay_state::idle ? 1U : 0U;
        const auto lost = disconnect(r);
        sum.unknown += lost.unknown;
        sum.not_sent += lost.not_sent;
    }
    if (closed > 0)
    {
        parts.tel.log(log_level::info,
            "relays_released",
            {{"relays", std::to_string(closed)},
                {"orders_unknown", std::to_string(sum.unknown)},
                {"orders_not_sent", std::to_string(sum.not_sent)}});
    }
    relays.clear();
    routes = {};
    report_orders_in_flight(); // no further tick reports the value
}

void pool_state::report_orders_in_flight() const
{
    parts.tel.gauge(
        "camphorhitch_relayed_orders", {}, static_cast<double>(orders_in_flight.size()));
}

void pool_state::set_relays(std::vector<ports::relay_endpoint> all)
{
    if (!active)
    {
        return;
    }
    relay_list_known = true;
    for (auto& [member, r] : relays)
    {
        r.is_listed = false;
    }
    for (auto& it : all)
    {
        if (it.member == parts.member)
        {
            continue;
        }
        auto [entry, added] = relays.try_emplace(it.member);
        auto& r = entry->second;
        r.is_listed = true;
        if (added)
        {
            parts.tel.log(log_level::info,
                "relay_found",
                {{"relay", it.member}, {"address", it.address}, {"zone", it.zone}});
        }
        if (r.endpoint.address != it.address && r.state != relay_state::idle)
        {
            handle_lost_relay(it.member, "its address has changed");
        }
        r.endpoint = std::move(it);
        if (r.state == relay_state::ready && !r.leaving)
        {
            add_relay(routes, r.endpoint);
        }
    }
    std::erase_if(relays,
        [](const auto& it)
        { return !it.second.is_listed && it.second.state == relay_state::idle; });
    connect_due();
    schedule_flush();
}

void pool_state::connect_due()
{
    if (!active || !relays_needed)
    {
        return;
    }
    std::vector<std::string> due;
    for (const auto& [member, r] : relays)
    {
        if (r.state == relay_state::idle &&
            (!r.connection_attempted || clock.elapsed >= r.retry_at))
        {
            due.push_back(member);
        }
    }
    for (const auto& it : due)
    {
        connect(relays.at(it));
    }
}

void pool_state::connect(relay_entry& r)
{
    const auto member = r.endpoint.member;
    r.connection_attempted = true;
    r.state = relay_state::connecting;
    r.leaving = false;
    r.last_heard = clock.elapsed;
    r.receive_count = 0;
    const ACE_INET_Addr to(r.endpoint.address.c_str(), AF_INET);
    ACE_SOCK_Stream socket;
    ACE_SOCK_Connector connector;
    ACE_Time_Value none(0, 0);
    const int rc = connector.connect(socket, to, &none);
    if (rc != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS)
    {
        handle_lost_relay(member, std::string("connect: ") + std::strerror(errno));
        return;
    }
    configure_socket(socket);
    channel_events events;
    events.on_frame = [weak = weak_from_this(), member](std::string_view frame)
    {
        if (const auto self = weak.lock())
        {
            self->handle_frame(member, frame);
        }
    };
    events.on_closed = [weak = weak_from_this(), member](const std::string& reason)
    {
        if (const auto self = weak.lock())
        {
            self->handle_lost_relay(member, reason);
        }
    };
    r.connection = std::make_shared<channel>(*parts.loop, socket, false, std::move(events));
    r.connection->open();
}

/// A relay is ready once its first frame has arrived: the kernel of the other node may have
/// accepted the connection while the relay's process is paused.
void pool_state::record_heard(relay_entry& r)
{
    if (!r.connection || r.connection->receive_count() == r.receive_count)
    {
        return;
    }
    r.receive_count = r.connection->receive_count();
    r.last_heard = clock.elapsed;
    if (r.state != relay_state::connecting)
    {
        return;
    }
    r.state = relay_state::ready;
    parts.tel.log(log_level::info,
        r.retry_delay.count() > 0 ? "relay_back" : "relay_connected",
        {{"relay", r.endpoint.member}, {"zone", r.endpoint.zone}});
    r.retry_delay = core::millis{0};
    if (!r.leaving)
    {
        add_relay(routes, r.endpoint);
    }
    schedule_flush();
}

void pool_state::tick()
{
    const auto self = shared_from_this();
    clock.advance(time.now(), max_counted_ticks * settings.tick_interval);
    for (auto& [member, r] : relays)
    {
        record_heard(r);
    }
    disconnect_unresponsive();
    time_out_orders();
    send_heartbeats();
    remove_expired_runners();
    remove_expired_avoidances();
    connect_due();
    if (!waiting_orders.empty())
    {
        schedule_flush();
    }
    start_local_calls();
    report_counts("relay", relayed_verdicts);
    report_counts("local", local_verdicts);
    report_orders_in_flight();
    if (active)
    {
        timer = time.after(settings.tick_interval, [this] { tick(); });
    }
}

void pool_state::disconnect_unresponsive()
{
    std::vector<std::string> unresponsive;
    for (const auto& [member, r] : relays)
    {
        const bool due = clock.elapsed - r.last_heard > settings.relay_timeout;
        if (r.state != relay_state::idle && due)
        {
            unresponsive.push_back(member);
        }
    }
    for (const auto& it : unresponsive)
    {
        // The data of the relay may still be in the socket, unread by a loop that lags.
        if (const auto connection = relays.at(it).connection)
        {
            connection->read_now();
        }
        const auto r = relays.find(it);
        if (r == relays.end() || r->second.state == relay_state::idle)
        {
            continue;
        }
        record_heard(r->second);
        if (clock.elapsed - r->second.last_heard > settings.relay_timeout)
        {
            handle_lost_relay(it, "silent");
        }
    }
}

void pool_state::send_heartbeats()
{
    std::vector<std::shared_ptr<channel>> idle_connections;
    for (auto& [member, r] : relays)
    {
        if (r.state == relay_state::ready &&
            clock.elapsed - r.last_sent >= settings.heartbeat_interval)
        {
            r.last_sent = clock.elapsed;
            idle_connections.push_back(r.connection);
        }
    }
    for (const auto& it : idle_connections)
    {
        it->send({});
    }
}

void pool_state::time_out_orders()
{
    std::vector<std::uint64_t> late;
    for (const auto& [number, it] : orders_in_flight)
    {
        if (clock.elapsed > it.deadline)
        {
            late.push_back(number);
        }
    }
    // As for unresponsive relays, the answers may still be unread in the sockets.
    std::vector<std::shared_ptr<channel>> connections;
    for (const auto number : late)
    {
        const auto r = relays.find(orders_in_flight.at(number).member);
        if (r != relays.end() && r->second.connection)
        {
            connections.push_back(r->second.connection);
        }
    }
    std::sort(connections.begin(), connections.end());
    connections.erase(std::unique(connections.begin(), connections.end()), connections.end());
    for (const auto& it : connections)
    {
        it->read_now();
    }
    for (const auto number : late)
    {
        end_order(number, runner_verdict::unknown);
    }
}

void pool_state::remove_expired_runners()
{
    std::erase_if(polled_at,
        [&](const auto& it)
        {
            const bool old = clock.elapsed - it.second > settings.runner_retention;
            if (old)
            {
                forget_route(routes, it.first);
            }
            return old;
        });
}

void pool_state::remove_expired_avoidances()
{
    for (auto it = avoided_relays.begin(); it != avoided_relays.end();)
    {
        if (clock.elapsed < it->second.until)
        {
            ++it;
            continue;
        }
        forget_route(routes, it->first);
        it = avoided_relays.erase(it);
    }
}

void pool_state::handle_lost_relay(const std::string& member, const std::string& reason)
{
    const auto found = relays.find(member);
    if (found == relays.end() || found->second.state == relay_state::idle)
    {
        return;
    }
    auto& r = found->second;
    r.retry_delay =
        std::clamp(2 * r.retry_delay, settings.initial_retry_delay, settings.max_retry_delay);
    r.retry_at = clock.elapsed + r.retry_delay;
    const auto lost = disconnect(r);
    parts.tel.log(log_level::info,
        "relay_lost",
        {{"relay", member},
            {"reason", reason},
            {"orders_unknown", std::to_string(lost.unknown)},
            {"orders_not_sent", std::to_string(lost.not_sent)}});
}

/// Closes the relay's connection and ends its orders. An order whose frame was not written at all
/// ends as not sent; any other order ends as unknown.
lost_order_counts pool_state::disconnect(relay_entry& r)
{
    const auto connection = std::exchange(r.connection, nullptr);
    r.state = relay_state::idle;
    r.reads_term_token = false;
    r.orders.clear();
    remove_relay(routes, r.endpoint.member);
    const auto written = connection ? connection->written_bytes() : 0;
    if (connection)
    {
        connection->close();
    }
    std::vector<std::pair<std::uint64_t, runner_verdict>> ended;
    lost_order_counts out;
    for (const auto& [number, it] : orders_in_flight)
    {
        if (it.member == r.endpoint.member)
        {
            const bool sent = it.framed && written > it.bytes_queued_before;
            ended.emplace_back(number, sent ? runner_verdict::unknown : runner_verdict::not_sent);
            ++(sent ? out.unknown : out.not_sent);
        }
    }
    for (const auto& [number, verdict] : ended)
    {
        end_order(number, verdict);
    }
    return out;
}

} // namespace camphorhitch::relay
