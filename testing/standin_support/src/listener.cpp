#include "connection.hpp"
#include "core/invariant.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorhitch::standin_support
{

namespace
{

constexpr int backlog = 1024;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int bound_socket(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    const int rc = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    core::require(rc == 0, "can't bind port", std::to_string(port));
    return fd;
}

std::uint16_t port_of(int fd)
{
    sockaddr_in address{};
    socklen_t n = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
    return ntohs(address.sin_port);
}

} // namespace

listener::listener(http_server& server, std::uint16_t port, exchange_handler handler)
    : server_(server), handler_(std::move(handler)), reserving_socket_(bound_socket(port)),
      port_(port_of(reserving_socket_))
{
    open();
}

listener::~listener()
{
    close();
    ::close(reserving_socket_);
}

void listener::open()
{
    if (socket_ >= 0)
    {
        return;
    }
    socket_ = bound_socket(port_);
    core::require(::listen(socket_, backlog) == 0, "can't listen on port", std::to_string(port_));
    server_.loop_.watch(socket_, EPOLLIN, [this](std::uint32_t) { accept_all(); });
}

void listener::close()
{
    if (socket_ >= 0)
    {
        server_.loop_.unwatch(socket_);
        ::close(std::exchange(socket_, -1));
    }
}

void listener::accept_all()
{
    while (true)
    {
        const int fd = ::accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            return;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        server_.adopt(fd, *this);
    }
}

void listener::cut_connections()
{
    for (auto& [fd, it] : server_.connections_)
    {
        if (it->owner != this)
        {
            continue;
        }
        it->silent = false;
        ::shutdown(fd, SHUT_RDWR);
        if (const auto pending = it->current)
        {
            pending->end(exchange::end_kind::cut);
            pending->wake();
            if (pending->stream_)
            {
                pending->stream_->cut();
            }
        }
    }
}

std::size_t listener::silence(const std::function<bool()>& chosen)
{
    std::size_t n = 0;
    for (auto& [fd, it] : server_.connections_)
    {
        if (it->owner == this && !it->silent && chosen())
        {
            it->silent = true;
            ++n;
        }
    }
    return n;
}

} // namespace camphorhitch::standin_support
