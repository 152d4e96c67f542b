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

/// The library accepts some connections a round; a full queue of the kernel takes a few hundred.
constexpr int most_accept_rounds = 1000;

/// Beyond the limit so many connections are still accepted, to be told 503; more wait in the
/// listen queue until one closes.
constexpr std::size_t spare_connections = 64;

/// libmicrohttpd keeps a connection's header, and half of it the body's next part, in one block.
/// A header that fills it is refused by the library itself, in its own words.
constexpr std::size_t pool_per_header = 4;
constexpr std::size_t smallest_pool = std::size_t{32} << 10; // bytes

constexpr int listen_backlog = 1024;
constexpr core::millis shortest_sweep{10};
constexpr core::millis longest_sweep{1000};
constexpr int closures_at_once = 64;

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

/// Paths go to the targets as they came; the library would decode them.
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
    // Longer than the sweep's own limits, so that those come first and can be answered.
    const auto longest = std::max(limits.idle_timeout, limits.request_timeout) + longest_sweep;
    return static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(longest).count() + 1);
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
    time.cancel(sweep_timer_);
    if (daemon_ != nullptr)
    {
        loop.watch_fd(daemon_fd_, false, false, {});
        drop_exchanges();
        MHD_stop_daemon(daemon_);
    }
    if (closures_ >= 0)
    {
        loop.watch_fd(closures_, false, false, {});
        ::close(closures_);
    }
}

void server_state::drop_exchanges()
{
    // The library aborts the process when it is stopped with suspended connections. Its last round
    // may also read requests that have just come: hand_over() refuses those, so none suspends anew.
    ending_ = true;
    for (auto& [id, it] : exchanges_)
    {
        it->at = phase::over;
        resume(*it);
    }
    MHD_run(daemon_);
    time.cancel(work_timer_);
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
    closures_ = ::epoll_create1(EPOLL_CLOEXEC);
    const auto pool = std::max(limits.largest_header * pool_per_header, smallest_pool);
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
        static_cast<unsigned>(limits.most_connections + spare_connections),
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
    if (daemon_ == nullptr || closures_ < 0)
    {
        ::close(fd);
        return "can't start the server on " + address;
    }
    daemon_fd_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop.watch_fd(daemon_fd_, true, false, [this](reactor::fd_events) { work(); });
    loop.watch_fd(closures_, true, false, [this](reactor::fd_events) { watch_closures(); });
    // On the loop, not here: a caller's request that lies in the listen queue already would come to
    // the owner before it has this server, and there would be nothing to answer it with.
    sweep_timer_ = time.after(core::millis{0}, [this] { sweep(); });
    return {};
}

void server_state::work()
{
    MHD_run(daemon_);
    arm();
}

void server_state::arm()
{
    // The library may hold read data, or a connection that has waited too long, that its epoll
    // descriptor does not show: without the timer such a request would hang.
    MHD_UNSIGNED_LONG_LONG wait = 0;
    time.cancel(work_timer_);
    work_timer_ = 0;
    if (MHD_get_timeout(daemon_, &wait) == MHD_YES && wait < std::uint64_t(longest_sweep.count()))
    {
        work_timer_ = time.after(core::millis{wait}, [this] { work(); });
    }
}

void server_state::sweep()
{
    // First what lies in the buffers: a process that was paused wakes here, and would close
    // connections whose requests have come meanwhile.
    work();
    for (auto& it : connections_)
    {
        sweep_connection(*it.second);
    }
    work();
    const auto shortest = std::min(limits.idle_timeout, limits.request_timeout) / 4;
    sweep_timer_ =
        time.after(std::clamp(shortest, shortest_sweep, longest_sweep), [this] { sweep(); });
}

void server_state::sweep_connection(connection& it)
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
    const bool reading = current->at == phase::request_line || current->at == phase::body;
    if (reading && now - current->begun > limits.request_timeout)
    {
        // What is still in the library's buffers must not be handed over after the refusal.
        current->at = phase::over;
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
    it->over_limit = connections_.size() >= limits.most_connections;
    it->id = ++last_connection_;
    // The library does not look at the socket of a suspended connection, so a caller that
    // closes while its request is with the owner would not be noticed.
    epoll_event wanted{};
    wanted.events = EPOLLRDHUP | EPOLLET;
    wanted.data.u64 = it->id;
    ::epoll_ctl(closures_, EPOLL_CTL_ADD, it->fd, &wanted);
    auto* const out = it.get();
    connections_.emplace(out->id, std::move(it));
    return out;
}

void server_state::close_connection(connection& it)
{
    ::epoll_ctl(closures_, EPOLL_CTL_DEL, it.fd, nullptr);
    connections_.erase(it.id);
}

void server_state::watch_closures()
{
    std::array<epoll_event, closures_at_once> buf{};
    const int n = ::epoll_wait(closures_, buf.data(), closures_at_once, 0);
    for (int i = 0; i < n; ++i)
    {
        const auto it = connections_.find(buf[static_cast<std::size_t>(i)].data.u64);
        if (it != connections_.end())
        {
            on_closed(*it->second);
        }
    }
}

/// The kernel has completed connections that the library hasn't accepted yet. Closing the listening
/// socket resets them, and their callers see a broken call during a planned stop. Taken in first,
/// they are answered like all others; who connects after the last look is refused by the kernel.
void server_state::accept_waiting()
{
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD);
    if (info == nullptr)
    {
        return;
    }
    pollfd listening{info->listen_fd, POLLIN, 0};
    for (int i = 0; i<most_accept_rounds&& ::poll(&listening, 1, 0)> 0; ++i)
    {
        MHD_run(daemon_);
    }
}

void server_state::stop_accepting()
{
    if (!quiesced_)
    {
        accept_waiting();
        quiesced_ = true;
        const int fd = MHD_quiesce_daemon(daemon_);
        if (fd >= 0)
        {
            ::close(fd);
        }
    }
}

} // namespace camphorhitch::http
