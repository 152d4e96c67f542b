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

constexpr unsigned max_connections = 15000;

MHD_Result add_field(void* cls, MHD_ValueKind, const char* name, const char* text)
{
    auto& fields = *static_cast<ports::http_fields*>(cls);
    fields.emplace_back(name, text == nullptr ? "" : text);
    return MHD_YES;
}

} // namespace

/// All callbacks of libmicrohttpd, in one struct so that the classes need only one friend.
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
        server.loop_.unwatch(c->fd);
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
        const auto pending = *static_cast<exchange_ptr*>(*state);
        if (pending->wire_->silent)
        {
            return suspend(wire, *pending);
        }
        if (pending->how_ != exchange::end_kind::open)
        {
            return finish(wire, pending);
        }
        if (pending->request.method.empty())
        {
            pending->request.method = method;
            MHD_get_connection_values(wire, MHD_HEADER_KIND, &add_field, &pending->request.fields);
            return MHD_YES;
        }
        if (*size != 0)
        {
            add_body(*static_cast<http_server*>(cls), *pending, {upload, *size});
            *size = 0;
            return MHD_YES;
        }
        return dispatch(wire, pending);
    }

    static void add_body(http_server& server, exchange& pending, std::string_view bytes)
    {
        pending.too_large_ = pending.too_large_ ||
                             pending.request.body.size() + bytes.size() > server.max_body_bytes_;
        if (!pending.too_large_)
        {
            pending.request.body += bytes;
        }
    }

    static MHD_Result dispatch(MHD_Connection* wire, const exchange_ptr& pending)
    {
        if (pending->too_large_)
        {
            pending->respond({413, {}, "{\"error\":\"the request is too large\"}\n"});
        }
        else if (!std::exchange(pending->dispatched_, true))
        {
            pending->wire_->owner->handler_(pending);
        }
        if (pending->how_ == exchange::end_kind::open || pending->wire_->silent)
        {
            if (!pending->wire_->peer_closed)
            {
                return suspend(wire, *pending);
            }
            pending->cut();
        }
        return finish(wire, pending);
    }

    static MHD_Result suspend(MHD_Connection* wire, exchange& pending)
    {
        if (!std::exchange(pending.suspended_, true))
        {
            MHD_suspend_connection(wire);
        }
        return MHD_YES;
    }

    static MHD_Result finish(MHD_Connection* wire, const exchange_ptr& pending)
    {
        switch (pending->how_)
        {
        case exchange::end_kind::answer:
            return queue_whole(wire, pending->response_);
        case exchange::end_kind::truncated:
            return queue_truncated(wire, pending->response_);
        case exchange::end_kind::stream:
            return start_stream(wire, pending);
        case exchange::end_kind::open:
        case exchange::end_kind::cut:
            break;
        }
        return MHD_NO;
    }

    static MHD_Result start_stream(MHD_Connection* wire, const exchange_ptr& pending)
    {
        pending->stream_->wire_ = wire;
        auto* const response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
            answer_block_size,
            &read_stream,
            new exchange_ptr(pending),
            [](void* cls) { delete static_cast<exchange_ptr*>(cls); });
        return queue(wire, pending->response_, response);
    }

    static ssize_t read_stream(void* cls, std::uint64_t, char* buf, std::size_t max_size)
    {
        const auto& pending = *static_cast<exchange_ptr*>(cls);
        auto& stream = *pending->stream_;
        if (!stream.open_ || (pending->wire_ != nullptr && pending->wire_->peer_closed))
        {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (stream.pending_.empty() && stream.finishing_)
        {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (stream.pending_.empty() || pending->is_silent())
        {
            stream.waiting_ = true;
            MHD_suspend_connection(stream.wire_);
            return 0;
        }
        const auto n = stream.pending_.copy(buf, max_size);
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
        const auto pending = std::move(*holder);
        delete holder;
        *state = nullptr;
        if (pending->wire_ != nullptr)
        {
            pending->wire_->current.reset();
            pending->wire_ = nullptr;
        }
        if (pending->stream_)
        {
            pending->stream_->end();
        }
        notify_gone(*pending);
    }

    static void notify_gone(exchange& pending)
    {
        if (pending.how_ != exchange::end_kind::open)
        {
            return;
        }
        pending.how_ = exchange::end_kind::cut;
        pending.gone_ = true;
        const auto tell = std::exchange(pending.on_gone, nullptr);
        if (tell)
        {
            tell();
        }
    }
};

http_server::http_server(event_loop& loop, std::size_t max_body_bytes)
    : loop_(loop), max_body_bytes_(max_body_bytes)
{
    daemon_ = MHD_start_daemon(MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME,
        0,
        nullptr,
        nullptr,
        &server_callbacks::on_access,
        this,
        MHD_OPTION_CONNECTION_LIMIT,
        max_connections,
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
    // The services have been destroyed already, so their callbacks must not be called any more.
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
    loop_.unwatch(MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd);
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
    counts.max_open = std::max(counts.max_open, counts.open);
    loop_.watch(fd, EPOLLRDHUP | EPOLLET, [this, fd](std::uint32_t) { on_peer_closed(fd); });
    sockaddr_in peer{};
    socklen_t n = sizeof peer;
    ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &n);
    const auto ec = MHD_add_connection(daemon_, fd, reinterpret_cast<const sockaddr*>(&peer), n);
    if (ec != MHD_YES && connections_.contains(fd))
    {
        --counts.open;
        loop_.unwatch(fd);
        connections_.erase(fd);
    }
}

// libmicrohttpd does not check suspended connections, so the descriptor and the watch of a caller
// that has closed its connection would be held forever. The server therefore detects the close and
// resumes the connection; libmicrohttpd then ends it.
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
    const auto pending = c.current;
    if (!pending || !pending->suspended_)
    {
        if (pending && pending->stream_)
        {
            pending->stream_->cut();
        }
        return;
    }
    server_callbacks::notify_gone(*pending);
    pending->wake();
}

} // namespace camphorhitch::standin_support
