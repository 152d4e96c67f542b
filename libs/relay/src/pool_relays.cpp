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

/// Of a gap between two ticks so many ticks count.
constexpr int most_ticks_in_gap = 2;

} // namespace

void loop_clock::advance(core::mono_time now, core::millis most)
{
    const auto gap = std::chrono::duration_cast<core::millis>(now - ticked_at);
    elapsed += std::clamp(gap, core::millis{0}, most);
    ticked_at = now;
}

void pool_state::begin()
{
    close_all();
    active = true;
    needed = false;
    listed = false;
    polled.clear();
    clock.ticked_at = time.now();
    time.cancel(timer);
    timer = time.after(settings.tick, [this] { tick(); });
}

/// May be called by an order's own callback: what iterates over the relays goes on first.
void pool_state::end()
{
    active = false;
    time.cancel(timer);
    timer = 0;
    routes = {};
    refuse_waiting(); // what this term wanted must not leave in a later one
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
    lost_orders sum;
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
    tell_under_way(); // no tick does it any more
}

void pool_state::tell_under_way() const
{
    parts.tel.gauge("camphorhitch_relayed_orders", {}, static_cast<double>(under_way.size()));
}

void pool_state::set_relays(std::vector<ports::relay_endpoint> all)
{
    if (!active)
    {
        return;
    }
    listed = true;
    for (auto& [member, r] : relays)
    {
        r.listed = false;
    }
    for (auto& it : all)
    {
        if (it.member == parts.member)
        {
            continue;
        }
        auto [place, added] = relays.try_emplace(it.member);
        auto& r = place->second;
        r.listed = true;
        if (added)
        {
            parts.tel.log(log_level::info,
                "relay_found",
                {{"relay", it.member}, {"address", it.address}, {"zone", it.zone}});
        }
        if (r.place.address != it.address && r.state != relay_state::idle)
        {
            lose(it.member, "it has another address now");
        }
        r.place = std::move(it);
        if (r.state == relay_state::well && !r.leaving)
        {
            add_relay(routes, r.place);
        }
    }
    std::erase_if(relays,
        [](const auto& it) { return !it.second.listed && it.second.state == relay_state::idle; });
    connect_due();
    gather();
}

void pool_state::connect_due()
{
    if (!active || !needed)
    {
        return;
    }
    std::vector<std::string> due;
    for (const auto& [member, r] : relays)
    {
        if (r.state == relay_state::idle && (!r.tried || clock.elapsed >= r.retry_at))
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
    const auto member = r.place.member;
    r.tried = true;
    r.state = relay_state::connecting;
    r.leaving = false;
    r.heard_at = clock.elapsed;
    r.received = 0;
    const ACE_INET_Addr to(r.place.address.c_str(), AF_INET);
    ACE_SOCK_Stream socket;
    ACE_SOCK_Connector connector;
    ACE_Time_Value none(0, 0);
    const int rc = connector.connect(socket, to, &none);
    if (rc != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS)
    {
        lose(member, std::string("connect: ") + std::strerror(errno));
        return;
    }
    tune(socket);
    channel_events events;
    events.on_frame = [weak = weak_from_this(), member](std::string_view frame)
    {
        if (const auto self = weak.lock())
        {
            self->take(member, frame);
        }
    };
    events.on_closed = [weak = weak_from_this(), member](const std::string& why)
    {
        if (const auto self = weak.lock())
        {
            self->lose(member, why);
        }
    };
    r.wire = std::make_shared<channel>(*parts.loop, socket, false, std::move(events));
    r.wire->open();
}

/// A relay is well once its first frame has come: the other end may have accepted the connection
/// and not run since.
void pool_state::note_heard(relay_entry& r)
{
    if (!r.wire || r.wire->received() == r.received)
    {
        return;
    }
    r.received = r.wire->received();
    r.heard_at = clock.elapsed;
    if (r.state != relay_state::connecting)
    {
        return;
    }
    r.state = relay_state::well;
    parts.tel.log(log_level::info,
        r.pause.count() > 0 ? "relay_back" : "relay_connected",
        {{"relay", r.place.member}, {"zone", r.place.zone}});
    r.pause = core::millis{0};
    if (!r.leaving)
    {
        add_relay(routes, r.place);
    }
    gather();
}

void pool_state::tick()
{
    const auto self = shared_from_this();
    clock.advance(time.now(), most_ticks_in_gap * settings.tick);
    for (auto& [member, r] : relays)
    {
        note_heard(r);
    }
    drop_silent();
    time_out_orders();
    send_heartbeats();
    forget_runners();
    forget_avoided();
    connect_due();
    if (!waiting.empty())
    {
        gather();
    }
    make_local_calls();
    report_counts("relay", relayed);
    report_counts("local", made_locally);
    tell_under_way();
    if (active)
    {
        timer = time.after(settings.tick, [this] { tick(); });
    }
}

void pool_state::drop_silent()
{
    std::vector<std::string> silent;
    for (const auto& [member, r] : relays)
    {
        const bool due = clock.elapsed - r.heard_at > settings.longest_silence;
        if (r.state != relay_state::idle && due)
        {
            silent.push_back(member);
        }
    }
    for (const auto& it : silent)
    {
        // What it said may lie in the socket still, unread by a loop that lags.
        if (const auto wire = relays.at(it).wire)
        {
            wire->read_now();
        }
        const auto r = relays.find(it);
        if (r == relays.end() || r->second.state == relay_state::idle)
        {
            continue;
        }
        note_heard(r->second);
        if (clock.elapsed - r->second.heard_at > settings.longest_silence)
        {
            lose(it, "silent");
        }
    }
}

void pool_state::send_heartbeats()
{
    std::vector<std::shared_ptr<channel>> quiet;
    for (auto& [member, r] : relays)
    {
        if (r.state == relay_state::well && clock.elapsed - r.sent_at >= settings.heartbeat)
        {
            r.sent_at = clock.elapsed;
            quiet.push_back(r.wire);
        }
    }
    for (const auto& it : quiet)
    {
        it->send({});
    }
}

void pool_state::time_out_orders()
{
    std::vector<std::uint64_t> late;
    for (const auto& [number, it] : under_way)
    {
        if (clock.elapsed > it.deadline)
        {
            late.push_back(number);
        }
    }
    // As with silence: the answers may lie unread in the sockets.
    std::vector<std::shared_ptr<channel>> wires;
    for (const auto number : late)
    {
        const auto r = relays.find(under_way.at(number).member);
        if (r != relays.end() && r->second.wire)
        {
            wires.push_back(r->second.wire);
        }
    }
    std::sort(wires.begin(), wires.end());
    wires.erase(std::unique(wires.begin(), wires.end()), wires.end());
    for (const auto& it : wires)
    {
        it->read_now();
    }
    for (const auto number : late)
    {
        finish(number, runner_verdict::unknown);
    }
}

void pool_state::forget_runners()
{
    std::erase_if(polled,
        [&](const auto& it)
        {
            const bool old = clock.elapsed - it.second > settings.runner_memory;
            if (old)
            {
                forget_route(routes, it.first);
            }
            return old;
        });
}

void pool_state::forget_avoided()
{
    for (auto it = avoided.begin(); it != avoided.end();)
    {
        if (clock.elapsed < it->second.until)
        {
            ++it;
            continue;
        }
        forget_route(routes, it->first);
        it = avoided.erase(it);
    }
}

void pool_state::lose(const std::string& member, const std::string& why)
{
    const auto found = relays.find(member);
    if (found == relays.end() || found->second.state == relay_state::idle)
    {
        return;
    }
    auto& r = found->second;
    r.pause = std::clamp(2 * r.pause, settings.first_retry, settings.longest_retry);
    r.retry_at = clock.elapsed + r.pause;
    const auto lost = disconnect(r);
    parts.tel.log(log_level::info,
        "relay_lost",
        {{"relay", member},
            {"reason", why},
            {"orders_unknown", std::to_string(lost.unknown)},
            {"orders_not_sent", std::to_string(lost.not_sent)}});
}

/// Closes the relay's connection and ends its orders.
lost_orders pool_state::disconnect(relay_entry& r)
{
    const auto wire = std::exchange(r.wire, nullptr);
    r.state = relay_state::idle;
    r.orders.clear();
    remove_relay(routes, r.place.member);
    const auto written = wire ? wire->written_bytes() : 0;
    if (wire)
    {
        wire->close();
    }
    std::vector<std::pair<std::uint64_t, runner_verdict>> ended;
    lost_orders out;
    for (const auto& [number, it] : under_way)
    {
        if (it.member == r.place.member)
        {
            const bool sent = it.framed && written > it.bytes_before;
            ended.emplace_back(number, sent ? runner_verdict::unknown : runner_verdict::not_sent);
            ++(sent ? out.unknown : out.not_sent);
        }
    }
    for (const auto& [number, how] : ended)
    {
        finish(number, how);
    }
    return out;
}

} // namespace camphorhitch::relay
