#include "relay/server.hpp"

#include "channel.hpp"
#include "codec.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <algorithm>
#include <map>
#include <vector>

namespace camphorhitch::relay
{

using ports::log_level;

struct server_state : std::enable_shared_from_this<server_state>
{
    /// A connected coordinator.
    struct client
    {
        std::shared_ptr<channel> wire;
        answer_batch answers; ///< gathered in this turn of the loop
        std::uint64_t received = 0;
        core::mono_time heard_at;
        core::mono_time sent_at;
    };

    server_parts parts;
    server_limits limits;
    ports::scheduler time;
    ACE_SOCK_Acceptor acceptor;
    std::map<std::uint64_t, client> clients;
    std::uint64_t last_client = 0;
    std::int64_t highest_token = 0;
    core::mono_time ticked_at; ///< by the clock that goes on in a suspension
    ports::timer_id timer = 0;
    bool flushing = false;
    bool leaving = false;

    void accept_all();
    void add_client(const ACE_SOCK_Stream& socket);
    void take(std::uint64_t id, std::string_view frame);
    bool token_in_force(std::uint64_t id, const order_batch& batch);
    void carry_out(std::uint64_t id, const order& o);
    void answered(std::uint64_t id, answer a);
    void flush();
    void send_to(const std::function<bool(const client&)>& picked);
    void send(client& c);
    void tick();
    bool woke();
    std::string standstill();
    void drop(std::uint64_t id, const std::string& why);
    void drop_all(const std::string& why);
};

void server_state::accept_all()
{
    ACE_SOCK_Stream socket;
    while (acceptor.accept(socket) == 0)
    {
        if (clients.size() >= limits.most_connections)
        {
            drop(clients.begin()->first, "too many connections");
        }
        add_client(socket);
        socket.set_handle(ACE_INVALID_HANDLE);
    }
}

void server_state::add_client(const ACE_SOCK_Stream& socket)
{
    auto tuned = socket;
    tune(tuned);
    const auto id = ++last_client;
    channel_events events;
    events.on_frame = [this, id](std::string_view frame)
    {
        take(id, frame);
    };
    events.on_closed = [this, id](const std::string& why)
    {
        drop(id, why);
    };
    auto& c = clients[id];
    c.wire = std::make_shared<channel>(*parts.loop, tuned, true, std::move(events));
    c.heard_at = time.now();
    c.wire->open();
    c.answers.leaving = leaving;
    send(c);
}

void server_state::take(std::uint64_t id, std::string_view frame)
{
    // Orders that lay in the buffers during a standstill are seconds old, and their sender has long
    // counted them as unknown. Carried out late they do no harm: a start whose lease has ended, a
    // run that is not above one that ended, and an older token are each refused by the runner, and
    // a poll names the lease's absolute end. Dropping them only spares the calls.
    if (woke())
    {
        drop_all(standstill());
        return;
    }
    if (frame.empty())
    {
        return;
    }
    const auto read = decode_orders(frame);
    if (!core::is_ok(read))
    {
        drop(id, "bad frame: " + core::failure(read).message);
        return;
    }
    const auto& batch = core::value(read);
    if (!token_in_force(id, batch))
    {
        return;
    }
    for (const auto& it : batch.orders)
    {
        carry_out(id, it);
    }
}

/// A former owner that has not noticed its end may still send; what this relay has seen of its
/// successor saves each runner the refusal.
bool server_state::token_in_force(std::uint64_t id, const order_batch& batch)
{
    for (const auto& it : batch.orders)
    {
        const auto token = token_of(it.body);
        if (token < highest_token)
        {
            drop(id, "a former owner's token " + std::to_string(token));
            return false;
        }
        highest_token = token;
    }
    return true;
}

void server_state::carry_out(std::uint64_t id, const order& o)
{
    const auto done = [weak = weak_from_this(), id, number = o.number](const auto& a)
    {
        if (const auto self = weak.lock())
        {
            self->answered(id, {number, a});
        }
    };
    if (const auto* const start = std::get_if<ports::start_order>(&o.body))
    {
        parts.runners.start(o.to, *start, done);
    }
    else if (const auto* const stop = std::get_if<ports::stop_order>(&o.body))
    {
        parts.runners.stop(o.to, *stop, done);
    }
    else if (const auto* const pace = std::get_if<ports::throttle_order>(&o.body))
    {
        parts.runners.throttle(o.to, *pace, done);
    }
    else
    {
        parts.runners.poll(o.to, std::get<ports::poll_order>(o.body), done);
    }
}

void server_state::answered(std::uint64_t id, answer a)
{
    const auto found = clients.find(id);
    if (found == clients.end())
    {
        return;
    }
    found->second.answers.answers.push_back(std::move(a));
    if (!flushing)
    {
        flushing = true;
        time.post(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->flush();
                }
            });
    }
}

void server_state::flush()
{
    flushing = false;
    send_to([](const client& c) { return !c.answers.answers.empty(); });
}

/// Sends to the clients of whom \p picked is true; a client that can't take it is gone then.
void server_state::send_to(const std::function<bool(const client&)>& picked)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, c] : clients)
    {
        if (picked(c))
        {
            ids.push_back(id);
        }
    }
    for (const auto id : ids)
    {
        if (const auto found = clients.find(id); found != clients.end())
        {
            send(found->second);
        }
    }
}

void server_state::send(client& c)
{
    c.sent_at = time.now();
    const auto wire = c.wire;
    auto all = std::exchange(c.answers, {});
    answer_batch part;
    part.leaving = all.leaving;
    std::size_t bytes = 0;
    for (auto& it : all.answers)
    {
        const auto more = size_bound(it);
        if (bytes + more > batch_bytes && !part.answers.empty())
        {
            wire->send(encode(part));
            part.answers.clear();
            bytes = 0;
        }
        bytes += more;
        part.answers.push_back(std::move(it));
    }
    const bool empty = part.answers.empty() && !part.leaving;
    wire->send(empty ? std::string{} : encode(part));
}

/// \return whether the process stood still for longer than its clients waited, suspended or not.
bool server_state::woke()
{
    return parts.boot_now() - ticked_at > limits.longest_standstill + limits.heartbeat;
}

/// \return the reason for the log.
std::string server_state::standstill()
{
    const auto gap = std::chrono::duration_cast<core::millis>(parts.boot_now() - ticked_at);
    return "standstill of " + std::to_string(gap.count()) + " ms";
}

void server_state::tick()
{
    if (woke())
    {
        drop_all(standstill());
    }
    ticked_at = parts.boot_now();
    const auto now = time.now();
    std::vector<std::uint64_t> silent;
    for (auto& [id, c] : clients)
    {
        if (c.wire->received() != c.received)
        {
            c.received = c.wire->received();
            c.heard_at = now;
        }
        if (now - c.heard_at > limits.longest_silence)
        {
            silent.push_back(id);
        }
    }
    for (const auto id : silent)
    {
        drop(id, "silent");
    }
    send_to([&](const client& c) { return now - c.sent_at >= limits.heartbeat; });
    timer = time.after(limits.heartbeat, [this] { tick(); });
}

void server_state::drop(std::uint64_t id, const std::string& why)
{
    const auto found = clients.find(id);
    if (found == clients.end())
    {
        return;
    }
    const auto wire = found->second.wire; // may be inside its own event
    clients.erase(found);
    wire->close();
    parts.tel.log(log_level::info, "relay_client_gone", {{"reason", why}});
}

void server_state::drop_all(const std::string& why)
{
    while (!clients.empty())
    {
        drop(clients.begin()->first, why);
    }
}

server::server(std::shared_ptr<server_state> state) : state_(std::move(state))
{
}

server::~server()
{
    state_->time.cancel(state_->timer);
    state_->parts.loop->watch_fd(state_->acceptor.get_handle(), false, false, {});
    state_->acceptor.close();
    for (auto& [id, c] : state_->clients)
    {
        c.wire->close();
    }
    state_->clients.clear();
}

core::result<std::unique_ptr<server>> server::open(
    const std::string& address, server_parts parts, server_limits limits)
{
    const auto state = std::make_shared<server_state>();
    state->parts = std::move(parts);
    state->limits = limits;
    state->time = state->parts.loop->scheduler();
    const ACE_INET_Addr at(address.c_str(), AF_INET);
    if (state->acceptor.open(at, 1) != 0)
    {
        return core::error{core::error_code::unavailable, "can't listen at " + address};
    }
    state->acceptor.enable(ACE_NONBLOCK);
    state->ticked_at = state->parts.boot_now();
    state->parts.loop->watch_fd(state->acceptor.get_handle(),
        true,
        false,
        [weak = std::weak_ptr(state)](reactor::fd_events)
        {
            if (const auto self = weak.lock())
            {
                self->accept_all();
            }
        });
    state->tick();
    return std::unique_ptr<server>(new server(state));
}

std::uint16_t server::port() const
{
    ACE_INET_Addr at;
    state_->acceptor.get_local_addr(at);
    return at.get_port_number();
}

void server::leave()
{
    state_->leaving = true;
    for (auto& [id, c] : state_->clients)
    {
        c.answers.leaving = true;
    }
    state_->send_to([](const auto&) { return true; });
}

} // namespace camphorhitch::relay
