/// \file
/// A small HTTP/1.1 server and client over loopback, with one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
};

struct response
{
    int status = 0;
    std::string body;
};

/// Returns nothing when the call shall get no answer.
using handler = std::function<std::optional<response>(const request&)>;

inline std::string lower(std::string s)
{
    for (auto& c : s)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return s;
}

inline std::string percent_decode(const std::string& s)
{
    std::string out;
    for (std::size_t i = 0; i < s.size(); ++i)
    {
        if (s[i] == '%' && i + 2 < s.size())
        {
            out += static_cast<char>(std::stoi(s.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            out += s[i];
        }
    }
    return out;
}

inline std::map<std::string, std::string> parse_query(const std::string& s)
{
    std::map<std::string, std::string> out;
    for (std::size_t at = 0; at < s.size();)
    {
        const auto end = std::min(s.find('&', at), s.size());
        const auto pair = s.substr(at, end - at);
        const auto eq = std::min(pair.find('='), pair.size());
        out[pair.substr(0, eq)] =
            eq < pair.size() ? percent_decode(pair.substr(eq + 1)) : std::string{};
        at = end + 1;
    }
    return out;
}

/// Reads messages from one connection.
class message_reader
{
public:
    explicit message_reader(int fd) : fd_(fd)
    {
    }

    /// \return the start line; empty: the connection has ended
    std::string read(std::map<std::string, std::string>& fields, std::string& body)
    {
        std::size_t end = 0;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill())
            {
                return {};
            }
        }
        const auto head = buf_.substr(0, end);
        buf_.erase(0, end + 4);
        const auto first = std::min(head.find("\r\n"), head.size());
        for (std::size_t at = first; at < head.size();)
        {
            at += 2;
            const auto stop = std::min(head.find("\r\n", at), head.size());
            const auto line = head.substr(at, stop - at);
            const auto colon = line.find(':');
            if (colon != std::string::npos)
            {
                const auto text = line.find_first_not_of(' ', colon + 1);
                fields[lower(line.substr(0, colon))] =
                    text == std::string::npos ? std::string{} : line.substr(text);
            }
            at = stop;
        }
        const auto length = fields.find("content-length");
        const std::size_t n = length == fields.end() ? 0 : std::stoul(length->second);
        while (buf_.size() < n)
        {
            if (!fill())
            {
                return {};
            }
        }
        body = buf_.substr(0, n);
        buf_.erase(0, n);
        return head.substr(0, first);
    }

private:
    bool fill()
    {
        char part[65536];
        const auto n = ::recv(fd_, part, sizeof(part), 0);
        if (n <= 0)
        {
            return false;
        }
        buf_.append(part, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buf_;
};

inline bool send_all(int fd, const std::string& text)
{
    for (std::size_t at = 0; at < text.size();)
    {
        const auto n = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        at += static_cast<std::size_t>(n);
    }
    return true;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    return out;
}

/// \return a listening socket on a free port
inline int listen_free(int& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = loopback(0);
    socklen_t size = sizeof(at);
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        ::listen(fd, 256) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    {
        throw std::runtime_error("no free port");
    }
    port = ntohs(at.sin_port);
    return fd;
}

/// \return a port that was free just now
inline int free_port()
{
    int port = 0;
    ::close(listen_free(port));
    return port;
}

/// A server whose threads run until the process ends.
class server
{
public:
    /// \param closes whether each connection ends after one answer
    explicit server(handler h, bool closes = false)
        : handler_(std::move(h)), closes_(closes), fd_(listen_free(port_))
    {
        std::thread(
            [this]
            {
                while (true)
                {
                    pollfd it{fd_, POLLIN, 0};
                    const bool waits = !silent_ && ::poll(&it, 1, 20) > 0;
                    const int fd = waits ? ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC) : -1;
                    if (!waits && silent_)
                    {
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    }
                    if (fd >= 0)
                    {
                        std::thread([this, fd] { serve(fd); }).detach();
                    }
                }
            })
            .detach();
    }

    int port() const
    {
        return port_;
    }

    /// While the server is silent, the opening packets of new connections are not answered: its
    /// queue of connections is full.
    void set_silent(bool on)
    {
        silent_ = on;
        if (!on)
        {
            for (const int fd : filling_)
            {
                ::close(fd);
            }
            filling_.clear();
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        ::listen(fd_, 0);
        for (int i = 0; i < 3; ++i)
        {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            const auto at = loopback(port_);
            ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
            filling_.push_back(fd);
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        message_reader in(fd);
        while (true)
        {
            request r;
            const auto line = in.read(r.fields, r.body);
            const auto first = line.find(' ');
            const auto second = line.find(' ', first + 1);
            if (line.empty() || second == std::string::npos)
            {
                break;
            }
            r.method = line.substr(0, first);
            const auto target = line.substr(first + 1, second - first - 1);
            const auto mark = std::min(target.find('?'), target.size());
            r.path = target.substr(0, mark);
            r.query = parse_query(mark < target.size() ? target.substr(mark + 1) : std::string{});
            const auto out = handler_(r);
            if (!out)
            {
                // The connection returns nothing further; it ends when the caller closes it.
                char rest = 0;
                while (::recv(fd, &rest, 1, 0) > 0)
                {
                }
                break;
            }
            const std::string end = closes_ ? "\r\nConnection: close" : "";
            const auto head = "HTTP/1.1 " + std::to_string(out->status) +
                              " X\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(out->body.size()) + end + "\r\n\r\n";
            if (out->status == 0 || !send_all(fd, head + out->body) || closes_)
            {
                break;
            }
        }
        ::close(fd);
    }

    handler handler_;
    bool closes_;
    std::atomic<bool> silent_ = false;
    std::vector<int> filling_;
    int port_ = 0;
    int fd_;
};

/// Makes one call on a connection of its own.
/// \return nothing if no answer came within \p wait_ms; the connection is closed then
inline std::optional<response> call(int port,
    const std::string& method,
    const std::string& path,
    const std::string& fields,
    const std::string& body,
    int wait_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = loopback(port);
    timeval limit{wait_ms / 1000, wait_ms % 1000 * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::optional<response> out;
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0 &&
        send_all(fd,
            method + " " + path + " HTTP/1.1\r\n" + fields +
                "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body))
    {
        message_reader in(fd);
        std::map<std::string, std::string> answered;
        std::string text;
        const auto line = in.read(answered, text);
        if (line.size() > 12)
        {
            out = response{std::stoi(line.substr(9, 3)), text};
        }
    }
    ::close(fd);
    return out;
}

} // namespace review
