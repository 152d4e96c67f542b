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
        std::shared_ptr<channel> connection;
        answer_batch answers; ///< answers collected in this iteration of the event loop
        std::uint64_t receive_count = 0;
        core::mono_time last_heard;
        core::mono_time last_sent;
    };

    server_parts parts;
    server_limits limits;
    ports::scheduler time;
    ACE_SOCK_Acceptor acceptor;
    std::map<std::uint64_t, client> clients;
    std::uint64_t last_client_id = 0;
    std::int64_t highest_token = 0;
    /// Time of boot_now(), which continues while the machine is suspended.
    core::mono_time last_tick_at;
    ports::timer_id timer = 0;
    bool flush_scheduled = false;
    bool leaving = false;

    void accept_connections();
    void add_client(const ACE_SOCK_Stream& socket);
    void handle_frame(std::uint64_t id, std::string_view frame);
    bool has_current_token(std::uint64_t id, const order_batch& batch);
    std::optional<core::mono_time> last_order_at;

    void execute_order(std::uint64_t id, const order& o);
    void queue_answer(std::uint64_t id, answer a);
    void flush();
    void send_to(const std::function<bool(const client&)>& is_selected);
    void send(client& c);
    void tick();
    bool was_paused();
    std::string pause_reason();
    void disconnect_client(std::uint64_t id, const std::string& reason);
    void disconnect_all_clients(const std::string& reason);
};

void server_state::accept_connections()
{
    ACE_SOCK_Stream socket;
    while (acceptor.accept(socket) == 0)
    {
        if (clients.size() >= limits.max_connections)
        {
            disconnect_client(clients.begin()->first, "too many connections");
        }
        add_client(socket);
        socket.set_handle(ACE_INVALID_HANDLE);
    }
}

void server_state::add_client(const ACE_SOCK_Stream& socket)
{
    auto tuned = socket;
    configure_socket(tuned);
    const auto id = ++last_client_id;
    channel_events events;
    events.on_frame = [this, id](std::string_view frame)
    {
        handle_frame(id, frame);
    };
    events.on_closed = [this, id](const std::string& reason)
    {
        disconnect_client(id, reason);
    };
    auto& c = clients[id];
    c.connection = std::make_shared<channel>(*parts.loop, tuned, true, std::move(events));
    c.last_heard = time.now();
    c.connection->open();
    c.answers.leaving = leaving;
    c.answers.reads_term_token = true;
    send(c);
}

void server_state::handle_frame(std::uint64_t id, std::string_view frame)
{
    // Orders that were buffered while the process was paused are seconds old, and their sender has
    // already counted them as unknown. Executing them late would do no harm: a runner refuses a
    // start whose lease has ended, a run number that is not above one that has ended, and an older
    // fencing token; and a poll names the absolute end of the lease. Dropping these orders only
    // saves the calls.
    if (was_paused())
    {
        disconnect_all_clients(pause_reason());
        return;
    }
    if (frame.empty())
    {
        return;
    }
    const auto read = decode_orders(frame);
    if (!core::is_ok(read))
    {
        disconnect_client(id, "bad frame: " + core::failure(read).message);
        return;
    }
    const auto& batch = core::value(read);
    if (!has_current_token(id, batch))
    {
        return;
    }
    for (const auto& it : batch.orders)
    {
        execute_order(id, it);
    }
}

/// A previous coordinator that has not noticed the end of its term may still send orders. The relay
/// compares the first token of their term with the highest one that it has received, which saves
/// each runner the refusal.
bool server_state::has_current_token(std::uint64_t id, const order_batch& batch)
{
    for (const auto& it : batch.orders)
    {
        const auto token = batch.term_token != 0 ? batch.term_token : fencing_token_of(it.body);
        if (token < highest_token)
        {
            disconnect_client(id, "a former owner's token " + std::to_string(token));
            return false;
        }
        highest_token = token;
    }
    return true;
}

void server_state::execute_order(std::uint64_t id, const order& o)
{
    last_order_at = parts.boot_now();
    const auto done = [weak = weak_from_this(), id, number = o.number](const auto& a)
    {
        if (const auto self = weak.lock())
        {
            self->queue_answer(id, {number, a});
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

void server_state::queue_answer(std::uint64_t id, answer a)
{
    const auto found = clients.find(id);
    if (found == clients.end())
    {
        return;
    }
    found->second.answers.answers.push_back(std::move(a));
    if (!flush_scheduled)
    {
        flush_scheduled = true;
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
    flush_scheduled = false;
    send_to([](const client& c) { return !c.answers.answers.empty(); });
}

/// Sends the collected answers to the clients for which \p is_selected returns true. A client that
/// can't be written to is removed.
void server_state::send_to(const std::function<bool(const client&)>& is_selected)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, c] : clients)
    {
        if (is_selected(c))
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
    c.last_sent = time.now();
    const auto connection = c.connection;
    auto all = std::exchange(c.answers, {});
    answer_batch part;
    part.leaving = all.leaving;
    part.reads_term_token = all.reads_term_token;
    std::size_t bytes = 0;
    for (auto& it : all.answers)
    {
        const auto more = max_encoded_size(it);
        if (bytes + more > max_batch_bytes && !part.answers.empty())
        {
            connection->send(encode(part));
            part.answers.clear();
            bytes = 0;
        }
        bytes += more;
        part.answers.push_back(std::move(it));
    }
    const bool empty = part.answers.empty() && !part.leaving && !part.reads_term_token;
    connection->send(empty ? std::string{} : encode(part));
}

/// \return whether the process was paused, by a suspension or otherwise, for longer than its
///   clients wait.
bool server_state::was_paused()
{
    return parts.boot_now() - last_tick_at > limits.max_pause + limits.heartbeat_interval;
}

/// \return the length of the pause, as a reason for the log.
std::string server_state::pause_reason()
{
    const auto gap = std::chrono::duration_cast<core::millis>(parts.boot_now() - last_tick_at);
    return "standstill of " + std::to_string(gap.count()) + " ms";
}

void server_state::tick()
{
    if (was_paused())
    {
        disconnect_all_clients(pause_reason());
    }
    last_tick_at = parts.boot_now();
    const auto now = time.now();
    std::vector<std::uint64_t> unresponsive;
    for (auto& [id, c] : clients)
    {
        if (c.connection->receive_count() != c.receive_count)
        {
            c.receive_count = c.connection->receive_count();
            c.last_heard = now;
        }
        if (now - c.last_heard > limits.connection_timeout)
        {
            unresponsive.push_back(id);
        }
    }
    for (const auto id : unresponsive)
    {
        disconnect_client(id, "silent");
    }
    send_to([&](const client& c) { return now - c.last_sent >= limits.heartbeat_interval; });
    timer = time.after(limits.heartbeat_interval, [this] { tick(); });
}

void server_state::disconnect_client(std::uint64_t id, const std::string& reason)
{
    const auto found = clients.find(id);
    if (found == clients.end())
    {
        return;
    }
    // This call may come from an event of the channel, which must outlive the event.
    const auto connection = found->second.connection;
    clients.erase(found);
    connection->close();
    parts.tel.log(log_level::info, "relay_client_gone", {{"reason", reason}});
}

void server_state::disconnect_all_clients(const std::string& reason)
{
    while (!clients.empty())
    {
        disconnect_client(clients.begin()->first, reason);
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
        c.connection->close();
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
    state->last_tick_at = state->parts.boot_now();
    state->parts.loop->watch_fd(state->acceptor.get_handle(),
        true,
        false,
        [weak = std::weak_ptr(state)](reactor::fd_events)
        {
            if (const auto self = weak.lock())
            {
                self->accept_connections();
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

std::optional<core::mono_time> server::last_order_at() const
{
    return state_->last_order_at;
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
