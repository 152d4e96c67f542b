/// \file
/// Misbehaving peers for tests of the HTTP server and client: a raw caller and a scripted target.
#pragma once

#include "reactor/event_loop.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>
#include <utility>

namespace camphorhitch::http_fakes
{

/// Time after which a test stops waiting for a condition.
inline constexpr std::chrono::seconds give_up{10};

/// Runs the loop until \p condition is true, for at most give_up.
/// \return whether \p condition became true.
inline bool run_until(reactor::event_loop& loop, const std::function<bool()>& condition)
{
    const auto time = loop.scheduler();
    const auto end = time.now() + give_up;
    while (!condition() && time.now() < end)
    {
        loop.run_once(core::millis{20});
    }
    return condition();
}

/// Runs the loop for \p wait, so that a test can check that something does not happen.
inline void run_for(reactor::event_loop& loop, core::millis wait)
{
    bool over = false;
    loop.scheduler().after(wait, [&] { over = true; });
    run_until(loop, [&] { return over; });
}

/// \return "127.0.0.1:port".
inline std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline sockaddr_in loopback_address(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(port);
    return out;
}

/// A caller that sends arbitrary bytes.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto to = loopback_address(port);
        std::ignore = ::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    ~raw_caller()
    {
        close();
    }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    /// Writes the whole text while the loop runs, so that the server can read it.
    void write(reactor::event_loop& loop, std::string_view text)
    {
        run_until(loop,
            [&]
            {
                const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
                const bool broken = n < 0 && errno != EAGAIN;
                text.remove_prefix(broken ? text.size() : n < 0 ? 0 : static_cast<std::size_t>(n));
                return text.empty();
            });
    }
    /// Writes a text that fits into the kernel's buffer, without running the loop.
    void send_now(std::string_view text) const
    {
        std::ignore = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    /// \return all bytes received so far.
    const std::string& read()
    {
        char buf[4096];
        ssize_t n = 0;
        while ((n = ::recv(fd_, buf, sizeof(buf), 0)) > 0)
        {
            seen_.append(buf, static_cast<std::size_t>(n));
        }
        closed_ = closed_ || n == 0 || errno != EAGAIN;
        return seen_;
    }
    /// \return whether the server has closed the connection.
    bool closed()
    {
        read();
        return closed_;
    }
    /// \return whether \p text has been received.
    bool has_received(const std::string& text)
    {
        return read().find(text) != std::string::npos;
    }
    /// Makes close() reset the connection.
    void reset_on_close() const
    {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    void close()
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
        }
        fd_ = -1;
    }

private:
    int fd_;
    std::string seen_;
    bool closed_ = false;
};

/// A target that counts the requests it reads and whose answers are bytes given by the test.
class scripted_target
{
public:
    explicit scripted_target(reactor::event_loop& loop)
        : loop_(loop), listen_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const auto at = loopback_address(0);
        std::ignore = ::bind(listen_, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
        ::listen(listen_, 64);
        loop_.watch_fd(listen_, true, false, [this](reactor::fd_events) { accept(); });
    }
    ~scripted_target()
    {
        while (!open_.empty())
        {
            close_connection(open_.begin()->first);
        }
        close_listener();
    }
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    std::uint16_t port() const
    {
        sockaddr_in at{};
        socklen_t n = sizeof(at);
        ::getsockname(listen_, reinterpret_cast<sockaddr*>(&at), &n);
        return ntohs(at.sin_port);
    }
    /// Stops accepting connections; open connections stay.
    void close_listener()
    {
        if (listen_ >= 0)
        {
            loop_.watch_fd(listen_, false, false, {});
            ::close(listen_);
        }
        listen_ = -1;
    }
    /// Sends \p text to a connection.
    /// \param id the connection, which may have been closed meanwhile
    void send(int id, const std::string& text) const
    {
        const auto it = open_.find(id);
        if (it != open_.end())
        {
            ::send(it->second.fd, text.data(), text.size(), MSG_NOSIGNAL);
        }
    }
    /// Closes a connection.
    void close_connection(int id)
    {
        const int fd = open_.at(id).fd;
        loop_.watch_fd(fd, false, false, {});
        ::close(fd);
        open_.erase(id);
    }

    /// Called with the connection and the number of the request on that connection, from 1.
    std::function<void(int id, int number)> on_request;
    int requests = 0;    ///< number of requests read on all connections
    int connections = 0; ///< number of connections accepted
    std::string last;    ///< bytes of the last request

private:
    struct peer
    {
        int fd = -1;
        std::string bytes;
        int requests = 0;
    };

    void accept()
    {
        const int fd = ::accept4(listen_, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd >= 0)
        {
            const int id = ++connections;
            open_[id].fd = fd;
            loop_.watch_fd(fd, true, false, [this, id](reactor::fd_events) { read(id); });
        }
    }
    void read(int id)
    {
        char buf[65536];
        const auto n = ::recv(open_.at(id).fd, buf, sizeof(buf), 0);
        if (n <= 0)
        {
            close_connection(id);
            return;
        }
        auto& bytes = open_.at(id).bytes;
        bytes.append(buf, static_cast<std::size_t>(n));
        const auto end = bytes.find("\r\n\r\n");
        const auto at = bytes.find("Content-Length: ");
        const auto length = at < end ? std::stoul(bytes.substr(at + 16)) : 0;
        if (end != std::string::npos && bytes.size() >= end + 4 + length)
        {
            last = std::exchange(bytes, {});
            ++requests;
            on_request(id, ++open_.at(id).requests);
        }
    }

    reactor::event_loop& loop_;
    int listen_;
    std::map<int, peer> open_;
};

} // namespace camphorhitch::http_fakes
