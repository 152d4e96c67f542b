#include "server_state.hpp"

#include "endpoint.hpp"
#include "refusal.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorhitch::http
{

namespace
{

/// libmicrohttpd accepts several connections per round. A full listen queue needs a few hundred
/// rounds.
constexpr int max_accept_rounds = 1000;

/// Number of connections beyond the limit that are accepted and answered with 503. Further
/// connections wait in the listen queue until one closes.
constexpr std::size_t extra_connections = 64;

/// libmicrohttpd keeps a connection's header, and in half of the block the next part of the body,
/// in one memory block. A header that fills the block is refused by libmicrohttpd with its own
/// text.
constexpr std::size_t pool_size_per_header = 4;
constexpr std::size_t min_pool_size = std::size_t{32} << 10; // bytes

constexpr int listen_backlog = 1024;
constexpr core::millis min_check_interval{10};
constexpr core::millis max_check_interval{1000};
constexpr int max_closure_events = 64;

// ---- libmicrohttpd's callbacks ----

void* on_uri(void* cls, const char* uri, MHD_Connection* mhd)
{
    return static_cast<server_state*>(cls)->begin_exchange(mhd, uri);
}

MHD_Result on_access(void*,
    MHD_Connection*,
    const char*,
    const char* method,
    const char*,
    const char* upload,
    std::size_t* upload_size,
    void** con_cls)
{
    auto& it = *static_cast<exchange*>(*con_cls);
    return it.server->on_progress(it, method, upload, upload_size);
}

void on_completed(void*, MHD_Connection*, void** con_cls, MHD_RequestTerminationCode)
{
    auto* const it = static_cast<exchange*>(*con_cls);
    if (it != nullptr)
    {
        *con_cls = nullptr;
        it->server->end_exchange(*it);
    }
}

void on_connection(
    void* cls, MHD_Connection* mhd, void** context, MHD_ConnectionNotificationCode code)
{
    auto& server = *static_cast<server_state*>(cls);
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
        *context = server.open_connection(mhd);
    }
    else
    {
        server.close_connection(*static_cast<connection*>(*context));
    }
}

/// Replaces libmicrohttpd's decoding of paths, which are passed to the targets unchanged.
std::size_t keep_escapes(void*, MHD_Connection*, char* text)
{
    return std::strlen(text);
}

/// \return a listening socket, or -1 with errno.
int listen_on(const endpoint& at)
{
    const int fd = ::socket(at.address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    const auto* const address = reinterpret_cast<const sockaddr*>(&at.address);
    if (fd < 0)
    {
        return -1;
    }
    if (::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        ::bind(fd, address, at.length) != 0 || ::listen(fd, listen_backlog) != 0)
    {
        const int saved = errno;
        ::close(fd);
        errno = saved;
        return -1;
    }
    return fd;
}

unsigned write_timeout_seconds(const server_limits& limits)
{
    // Longer than the limits of check_timeouts(), so that those apply first and can be answered.
    const auto limit = std::max(limits.idle_timeout, limits.request_timeout) + max_check_interval;
    return static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(limit).count() + 1);
}

} // namespace

server_state::server_state(
    reactor::event_loop& on, ports::http_events to, server_limits bounds, ports::http_fields extra)
    : loop(on), time(on.scheduler()), events(std::move(to)), limits(bounds),
      extra_fields(std::move(extra))
{
}

server_state::~server_state()
{
    events = {[](auto, const auto&) {},
        [](auto) {
        }};
    time.cancel(timeout_check_timer_);
    if (daemon_ != nullptr)
    {
        loop.watch_fd(daemon_fd_, false, false, {});
        end_open_exchanges();
        MHD_stop_daemon(daemon_);
    }
    if (closure_epoll_ >= 0)
    {
        loop.watch_fd(closure_epoll_, false, false, {});
        ::close(closure_epoll_);
    }
}

void server_state::end_open_exchanges()
{
    // libmicrohttpd aborts the process when it is stopped with suspended connections. Its last
    // round may read requests that have just arrived. hand_over() refuses these, so that no
    // connection is suspended again.
    shutting_down_ = true;
    for (auto& [id, it] : exchanges_)
    {
        it->current_phase = phase::over;
        resume(*it);
    }
    MHD_run(daemon_);
    time.cancel(daemon_timer_);
}

std::string server_state::start(const std::string& address)
{
    const auto at = parse_endpoint(address);
    if (!at)
    {
        return "'" + address + "' is not an address of the form ip:port";
    }
    const int fd = listen_on(*at);
    if (fd < 0)
    {
        return "can't listen on " + address + ": " + std::strerror(errno);
    }
    port = local_port(fd);
    closure_epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
    const auto pool = std::max(limits.max_header_size * pool_size_per_header, min_pool_size);
    daemon_ = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
        0,
        nullptr,
        nullptr,
        on_access,
        this,
        MHD_OPTION_LISTEN_SOCKET,
        fd,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        pool,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(limits.max_connections + extra_connections),
        MHD_OPTION_CONNECTION_TIMEOUT,
        write_timeout_seconds(limits),
        MHD_OPTION_URI_LOG_CALLBACK,
        on_uri,
        this,
        MHD_OPTION_UNESCAPE_CALLBACK,
        keep_escapes,
        nullptr,
        MHD_OPTION_NOTIFY_COMPLETED,
        on_completed,
        nullptr,
        MHD_OPTION_NOTIFY_CONNECTION,
        on_connection,
        this,
        MHD_OPTION_STRICT_FOR_CLIENT,
        1,
        MHD_OPTION_END);
    if (daemon_ == nullptr || closure_epoll_ < 0)
    {
        ::close(fd);
        return "can't start the server on " + address;
    }
    daemon_fd_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop.watch_fd(daemon_fd_, true, false, [this](reactor::fd_events) { run_daemon(); });
    loop.watch_fd(
        closure_epoll_, true, false, [this](reactor::fd_events) { read_closure_events(); });
    // The first run is scheduled on the loop. If it happened here, a request that is already in the
    // listen queue would reach the handler before build() has returned the server with which the
    // handler answers.
    timeout_check_timer_ = time.after(core::millis{0}, [this] { check_timeouts(); });
    return {};
}

void server_state::run_daemon()
{
    MHD_run(daemon_);
    schedule_daemon_run();
}

void server_state::schedule_daemon_run()
{
    // libmicrohttpd may hold data that it has read, or a connection whose timeout has passed,
    // without a sign on its epoll descriptor. Without this timer such a request would hang.
    MHD_UNSIGNED_LONG_LONG wait = 0;
    time.cancel(daemon_timer_);
    daemon_timer_ = 0;
    if (MHD_get_timeout(daemon_, &wait) == MHD_YES &&
        wait < std::uint64_t(max_check_interval.count()))
    {
        daemon_timer_ = time.after(core::millis{wait}, [this] { run_daemon(); });
    }
}

void server_state::check_timeouts()
{
    // Received data is processed first. A process that was paused resumes here, and would otherwise
    // close connections whose requests have arrived in the meantime.
    run_daemon();
    for (auto& it : connections_)
    {
        check_connection_timeout(*it.second);
    }
    run_daemon();
    const auto interval = std::min(limits.idle_timeout, limits.request_timeout) / 4;
    timeout_check_timer_ = time.after(
        std::clamp(interval, min_check_interval, max_check_interval), [this] { check_timeouts(); });
}

void server_state::check_connection_timeout(connection& it)
{
    const auto now = time.now();
    auto* const current = it.current;
    if (current == nullptr)
    {
        if (now - it.idle_since > limits.idle_timeout)
        {
            ::shutdown(it.fd, SHUT_RDWR);
        }
        return;
    }
    const bool reading =
        current->current_phase == phase::request_line || current->current_phase == phase::body;
    if (reading && now - current->started > limits.request_timeout)
    {
        // A request in libmicrohttpd's buffers must not reach the handler after the refusal.
        current->current_phase = phase::over;
        refuse_on_socket(it.fd,
            make_refusal(status_request_timeout, "the request did not come whole in time"),
            extra_fields);
    }
}

connection* server_state::open_connection(MHD_Connection* mhd)
{
    auto it = std::make_unique<connection>();
    it->mhd = mhd;
    it->fd = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    it->idle_since = time.now();
    it->over_limit = connections_.size() >= limits.max_connections;
    it->id = ++last_connection_;
    // libmicrohttpd does not monitor the socket of a suspended connection, so it would not detect
    // that a caller disconnects while the handler works on its request.
    epoll_event wanted{};
    wanted.events = EPOLLRDHUP | EPOLLET;
    wanted.data.u64 = it->id;
    ::epoll_ctl(closure_epoll_, EPOLL_CTL_ADD, it->fd, &wanted);
    auto* const out = it.get();
    connections_.emplace(out->id, std::move(it));
    return out;
}

void server_state::close_connection(connection& it)
{
    ::epoll_ctl(closure_epoll_, EPOLL_CTL_DEL, it.fd, nullptr);
    connections_.erase(it.id);
}

void server_state::read_closure_events()
{
    std::array<epoll_event, max_closure_events> buf{};
    const int n = ::epoll_wait(closure_epoll_, buf.data(), max_closure_events, 0);
    for (int i = 0; i < n; ++i)
    {
        const auto it = connections_.find(buf[static_cast<std::size_t>(i)].data.u64);
        if (it != connections_.end())
        {
            on_peer_closed(*it->second);
        }
    }
}

/// Accepts all connections that are waiting in the listen queue. Closing the listening socket would
/// reset them, and their callers would see a broken call during a planned stop. Once accepted, they
/// are answered like all others. The kernel refuses callers that connect after the last check.
void server_state::accept_pending_connections()
{
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD);
    if (info == nullptr)
    {
        return;
    }
    pollfd listening{info->listen_fd, POLLIN, 0};
    for (int i = 0; i<max_accept_rounds&& ::poll(&listening, 1, 0)> 0; ++i)
    {
        MHD_run(daemon_);
    }
}

void server_state::stop_accepting()
{
    if (!stopped_accepting_)
    {
        accept_pending_connections();
        stopped_accepting_ = true;
        const int fd = MHD_quiesce_daemon(daemon_);
        if (fd >= 0)
        {
            ::close(fd);
        }
    }
}

} // namespace camphorhitch::http
