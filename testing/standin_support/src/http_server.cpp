#include "standin_support/http_server.hpp"

#include "answers.hpp"
#include "connection.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

namespace camphorhitch::standin_support
{

namespace
{

constexpr unsigned most_connections = 15000;

MHD_Result add_field(void* cls, MHD_ValueKind, const char* name, const char* text)
{
    auto& fields = *static_cast<ports::http_fields*>(cls);
    fields.emplace_back(name, text == nullptr ? "" : text);
    return MHD_YES;
}

} // namespace

/// libmicrohttpd's callbacks, gathered so that the classes need one friend only.
struct server_callbacks
{
    static connection* connection_of(http_server& server, MHD_Connection* wire)
    {
        const auto* info = MHD_get_connection_info(wire, MHD_CONNECTION_INFO_CONNECTION_FD);
        const auto it = server.connections_.find(info->connect_fd);
        return it == server.connections_.end() ? nullptr : it->second.get();
    }

    static void on_connection(
        void* cls, MHD_Connection* wire, void**, MHD_ConnectionNotificationCode code)
    {
        auto& server = *static_cast<http_server*>(cls);
        auto* const c = connection_of(server, wire);
        if (c == nullptr)
        {
            return;
        }
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
        {
            c->wire = wire;
            return;
        }
        --c->owner->counts_.open;
        server.loop_.forget(c->fd);
        server.connections_.erase(c->fd);
    }

    static void* on_uri(void* cls, const char* uri, MHD_Connection* wire)
    {
        auto it = std::make_shared<exchange>();
        const std::string text = uri;
        const auto mark = text.find('?');
        it->request.path = text.substr(0, mark);
        it->request.query = mark == std::string::npos ? "" : text.substr(mark + 1);
        it->wire_ = connection_of(*static_cast<http_server*>(cls), wire);
        it->wire_->current = it;
        return new exchange_ptr(std::move(it));
    }

    static MHD_Result on_access(void* cls,
        MHD_Connection* wire,
        const char*,
        const char* method,
        const char*,
        const char* upload,
        std::size_t* size,
        void** state)
    {
        const auto held = *static_cast<exchange_ptr*>(*state);
        if (held->wire_->silent)
        {
            return suspend(wire, *held);
        }
        if (held->how_ != exchange::ending::open)
        {
            return finish(wire, held);
        }
        if (held->request.method.empty())
        {
            held->request.method = method;
            MHD_get_connection_values(wire, MHD_HEADER_KIND, &add_field, &held->request.fields);
            return MHD_YES;
        }
        if (*size != 0)
        {
            add_body(*static_cast<http_server*>(cls), *held, {upload, *size});
            *size = 0;
            return MHD_YES;
        }
        return dispatch(wire, held);
    }

    static void add_body(http_server& server, exchange& held, std::string_view bytes)
    {
        held.too_large_ =
            held.too_large_ || held.request.body.size() + bytes.size() > server.largest_body_;
        if (!held.too_large_)
        {
            held.request.body += bytes;
        }
    }

    static MHD_Result dispatch(MHD_Connection* wire, const exchange_ptr& held)
    {
        if (held->too_large_)
        {
            held->respond({413, {}, "{\"error\":\"the request is too large\"}\n"});
        }
        else if (!std::exchange(held->dispatched_, true))
        {
            held->wire_->owner->handler_(held);
        }
        if (held->how_ == exchange::ending::open || held->wire_->silent)
        {
            if (!held->wire_->peer_closed)
            {
                return suspend(wire, *held);
            }
            held->cut();
        }
        return finish(wire, held);
    }

    static MHD_Result suspend(MHD_Connection* wire, exchange& held)
    {
        if (!std::exchange(held.suspended_, true))
        {
            MHD_suspend_connection(wire);
        }
        return MHD_YES;
    }

    static MHD_Result finish(MHD_Connection* wire, const exchange_ptr& held)
    {
        switch (held->how_)
        {
        case exchange::ending::answer:
            return queue_whole(wire, held->response_);
        case exchange::ending::truncated:
            return queue_truncated(wire, held->response_);
        case exchange::ending::stream:
            return start_stream(wire, held);
        case exchange::ending::open:
        case exchange::ending::cut:
            break;
        }
        return MHD_NO;
    }

    static MHD_Result start_stream(MHD_Connection* wire, const exchange_ptr& held)
    {
        held->stream_->wire_ = wire;
        auto* const response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
            answer_block_size,
            &read_stream,
            new exchange_ptr(held),
            [](void* cls) { delete static_cast<exchange_ptr*>(cls); });
        return queue(wire, held->response_, response);
    }

    static ssize_t read_stream(void* cls, std::uint64_t, char* buf, std::size_t room)
    {
        const auto& held = *static_cast<exchange_ptr*>(cls);
        auto& stream = *held->stream_;
        if (!stream.open_ || (held->wire_ != nullptr && held->wire_->peer_closed))
        {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (stream.pending_.empty() && stream.finishing_)
        {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (stream.pending_.empty() || held->is_silent())
        {
            stream.waiting_ = true;
            MHD_suspend_connection(stream.wire_);
            return 0;
        }
        const auto n = stream.pending_.copy(buf, room);
        stream.pending_.erase(0, n);
        return static_cast<ssize_t>(n);
    }

    static void on_completed(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode)
    {
        auto* const holder = static_cast<exchange_ptr*>(*state);
        if (holder == nullptr)
        {
            return;
        }
        const auto held = std::move(*holder);
        delete holder;
        *state = nullptr;
        if (held->wire_ != nullptr)
        {
            held->wire_->current.reset();
            held->wire_ = nullptr;
        }
        if (held->stream_)
        {
            held->stream_->end();
        }
        tell_gone(*held);
    }

    static void tell_gone(exchange& held)
    {
        if (held.how_ != exchange::ending::open)
        {
            return;
        }
        held.how_ = exchange::ending::cut;
        held.gone_ = true;
        const auto tell = std::exchange(held.on_gone, nullptr);
        if (tell)
        {
            tell();
        }
    }
};

http_server::http_server(event_loop& loop, std::size_t largest_body)
    : loop_(loop), largest_body_(largest_body)
{
    daemon_ = MHD_start_daemon(MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME,
        0,
        nullptr,
        nullptr,
        &server_callbacks::on_access,
        this,
        MHD_OPTION_CONNECTION_LIMIT,
        most_connections,
        MHD_OPTION_URI_LOG_CALLBACK,
        &server_callbacks::on_uri,
        this,
        MHD_OPTION_NOTIFY_COMPLETED,
        &server_callbacks::on_completed,
        this,
        MHD_OPTION_NOTIFY_CONNECTION,
        &server_callbacks::on_connection,
        this,
        MHD_OPTION_END);
    core::require(daemon_ != nullptr, "MHD_start_daemon failed");
    const int fd = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop_.watch(fd, EPOLLIN, [](std::uint32_t) {});
    const auto timeout = [this]() -> std::optional<core::millis>
    {
        MHD_UNSIGNED_LONG_LONG ms = 0;
        if (MHD_get_timeout(daemon_, &ms) != MHD_YES)
        {
            return std::nullopt;
        }
        return core::millis{ms};
    };
    loop_.set_driver({[this] { MHD_run(daemon_); }, timeout});
}

http_server::~http_server()
{
    // The services are gone by now: nothing may call back into them.
    for (auto& [fd, it] : connections_)
    {
        if (it->current)
        {
            it->current->on_gone = nullptr;
            if (it->current->stream_)
            {
                it->current->stream_->on_end = nullptr;
            }
        }
    }
    for (auto& it : listeners_)
    {
        it->close();
        it->cut_connections();
    }
    loop_.set_driver({});
    loop_.forget(MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd);
    MHD_stop_daemon(daemon_);
}

listener& http_server::listen(std::uint16_t port, exchange_handler handler)
{
    listeners_.push_back(std::make_unique<listener>(*this, port, std::move(handler)));
    return *listeners_.back();
}

void http_server::adopt(int fd, listener& owner)
{
    auto it = std::make_unique<connection>();
    it->fd = fd;
    it->owner = &owner;
    connections_[fd] = std::move(it);
    auto& counts = owner.counts_;
    ++counts.total;
    ++counts.open;
    counts.most = std::max(counts.most, counts.open);
    loop_.watch(fd, EPOLLRDHUP | EPOLLET, [this, fd](std::uint32_t) { on_peer_closed(fd); });
    sockaddr_in peer{};
    socklen_t n = sizeof peer;
    ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &n);
    const auto ec = MHD_add_connection(daemon_, fd, reinterpret_cast<const sockaddr*>(&peer), n);
    if (ec != MHD_YES && connections_.contains(fd))
    {
        --counts.open;
        loop_.forget(fd);
        connections_.erase(fd);
    }
}

// libmicrohttpd doesn't look at a suspended connection, so a caller that went away would hold its
// descriptor and its watch for ever; we look ourselves and wake the connection, and then
// libmicrohttpd sees the end.
void http_server::on_peer_closed(int fd)
{
    const auto found = connections_.find(fd);
    if (found == connections_.end())
    {
        return;
    }
    auto& c = *found->second;
    c.peer_closed = true;
    c.silent = false;
    const auto held = c.current;
    if (!held || !held->suspended_)
    {
        if (held && held->stream_)
        {
            held->stream_->cut();
        }
        return;
    }
    server_callbacks::tell_gone(*held);
    held->wake();
}

} // namespace camphorhitch::standin_support
