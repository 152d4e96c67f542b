/// \file
/// Plain sockets on loopback, for peers that don't answer or don't exist.
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorhitch::peer::testing
{

class raw_socket
{
public:
    raw_socket() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }

    ~raw_socket()
    {
        ::close(fd_);
    }

    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;

    /// Binds to a free port. Without listen(), every connection to it is refused.
    std::string bind()
    {
        sockaddr_in at = loopback(0);
        socklen_t size = sizeof(at);
        const bool bound = ::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
                           ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) == 0;
        return !bound ? "" : "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }

    /// Listens. The kernel accepts connections, and nothing answers on them.
    std::string listen()
    {
        auto address = bind();
        constexpr int backlog = 16;
        ::listen(fd_, backlog);
        return address;
    }

    bool connect(std::uint16_t port)
    {
        const sockaddr_in to = loopback(port);
        return ::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
    }

    /// \return the first \p size bytes sent on the next connection.
    std::string receive(std::size_t size)
    {
        const int from = ::accept(fd_, nullptr, nullptr);
        std::string bytes(size, '\0');
        const auto n = ::recv(from, bytes.data(), size, MSG_WAITALL);
        bytes.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        ::close(from);
        return bytes;
    }

    void send(const std::string& bytes)
    {
        [[maybe_unused]] const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    void end_sending()
    {
        ::shutdown(fd_, SHUT_WR);
    }

    /// Returns when the other side has closed the connection.
    void wait_for_end()
    {
        char buf[256];
        while (::recv(fd_, buf, sizeof(buf), 0) > 0)
        {
        }
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return at;
    }

    int fd_;
};

} // namespace camphorhitch::peer::testing
