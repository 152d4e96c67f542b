#include "sockets.hpp"

#include <cerrno>
#include <cstring>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace camphorhitch::peer
{

namespace
{

constexpr int backlog = 128;            // connections
constexpr int keepalive_idle_s = 10;    // seconds before the first probe
constexpr int keepalive_interval_s = 5; // seconds between probes
constexpr int keepalive_probes = 3;     // unanswered probes after which the connection ends

core::error invalid(const std::string& text)
{
    return {core::error_code::invalid, text};
}

core::error unavailable(const char* call, int ec)
{
    return {core::error_code::unavailable, std::string(call) + ": " + std::strerror(ec)};
}

kj::AutoCloseFd stream_socket(int family)
{
    return kj::AutoCloseFd(::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void set_option(int fd, int level, int name, int n)
{
    ::setsockopt(fd, level, name, &n, sizeof(n));
}

std::uint16_t port_of(int fd)
{
    sockaddr_storage at{};
    socklen_t size = sizeof(at);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return at.ss_family == AF_INET6 ? ntohs(reinterpret_cast<sockaddr_in6*>(&at)->sin6_port)
                                    : ntohs(reinterpret_cast<sockaddr_in*>(&at)->sin_port);
}

int pending_error(int fd)
{
    int ec = 0;
    socklen_t size = sizeof(ec);
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size) == 0 ? ec : errno;
}

const sockaddr* as_sockaddr(const socket_address& a)
{
    return reinterpret_cast<const sockaddr*>(&a.bytes);
}

} // namespace

core::result<socket_address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return invalid("'" + text + "' is not \"ip:port\"");
    }
    std::string ip = text.substr(0, colon);
    if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']')
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    if (ip.empty() || ::getaddrinfo(ip.c_str(), text.c_str() + colon + 1, &hints, &found) != 0)
    {
        return invalid("'" + text + "' is not \"ip:port\"");
    }
    socket_address to;
    to.size = found->ai_addrlen;
    std::memcpy(&to.bytes, found->ai_addr, found->ai_addrlen);
    ::freeaddrinfo(found);
    return to;
}

core::result<listening_socket> listen_at(const socket_address& at)
{
    auto fd = stream_socket(at.bytes.ss_family);
    if (fd.get() < 0)
    {
        return unavailable("socket", errno);
    }
    set_option(fd.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    configure_socket(fd.get()); // accepted sockets inherit it
    if (::bind(fd.get(), as_sockaddr(at), at.size) != 0)
    {
        return unavailable("bind", errno);
    }
    if (::listen(fd.get(), backlog) != 0)
    {
        return unavailable("listen", errno);
    }
    const auto port = port_of(fd.get());
    return listening_socket{kj::mv(fd), port};
}

kj::Promise<socket_result> connect_to(kj::UnixEventPort& port, const socket_address& to)
{
    auto fd = stream_socket(to.bytes.ss_family);
    if (fd.get() < 0)
    {
        return socket_result{nullptr, errno};
    }
    configure_socket(fd.get());
    if (::connect(fd.get(), as_sockaddr(to), to.size) != 0 && errno != EINPROGRESS)
    {
        return socket_result{nullptr, errno};
    }
    auto watch = kj::heap<kj::UnixEventPort::FdObserver>(
        port, fd.get(), kj::UnixEventPort::FdObserver::OBSERVE_WRITE);
    auto writable = watch->whenBecomesWritable();
    return writable.then(
        [fd = kj::mv(fd), watch = kj::mv(watch)]() mutable
        {
            watch = nullptr;
            const int ec = pending_error(fd.get());
            return socket_result{kj::mv(fd), ec};
        });
}

void configure_socket(int fd)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

} // namespace camphorhitch::peer
