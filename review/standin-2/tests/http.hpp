// A small blocking HTTP/1.1 server and client for stand-ins: one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace standin
{

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
};

struct response
{
    int status = 0; // 0: the call gets no answer and its connection says nothing more
    std::string body;
};

inline std::string lower(std::string text)
{
    for (auto& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

inline std::string percent_decode(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            out += text[i];
        }
    }
    return out;
}

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

inline int free_port(const std::string& ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = address_of(ip, 0);
    socklen_t size = sizeof(at);
    ::bind(fd, reinterpret_cast<sockaddr*>(&at), size);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return ntohs(at.sin_port);
}

// Reads one message: the first line, the header fields and the body.
class message_reader
{
public:
    explicit message_reader(int fd) : fd_(fd)
    {
    }

    bool read(std::string& line, std::map<std::string, std::string>& fields, std::string& body)
    {
        std::size_t end = 0;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
        }
        const auto head = buf_.substr(0, end);
        buf_.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        line = head.substr(0, at);
        fields.clear();
        while (at != std::string::npos)
        {
            const auto next = head.find("\r\n", at + 2);
            const auto row = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const auto colon = row.find(':');
            if (colon != std::string::npos)
            {
                const auto from = row.find_first_not_of(' ', colon + 1);
                fields[lower(row.substr(0, colon))] =
                    from == std::string::npos ? "" : row.substr(from);
            }
            at = next;
        }
        const auto length = fields.count("content-length") != 0
                                ? std::stoul(fields["content-length"])
                                : std::size_t{0};
        while (buf_.size() < length)
        {
            if (!fill())
            {
                return false;
            }
        }
        body = buf_.substr(0, length);
        buf_.erase(0, length);
        return true;
    }

private:
    bool fill()
    {
        char chunk[16384];
        const auto n = ::recv(fd_, chunk, sizeof(chunk), 0);
        if (n <= 0)
        {
            return false;
        }
        buf_.append(chunk, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buf_;
};

inline bool send_all(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

class server
{
public:
    using handler = std::function<response(const request&)>;

    server(std::string ip, int port, handler fn) : ip_(std::move(ip)), port_(port)
    {
        state_ = std::make_shared<state>();
        state_->fn = std::move(fn);
        open();
    }

    ~server()
    {
        close();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }
    int port() const
    {
        return port_;
    }

    // Ends all connections; later ones are refused, as when the process has ended.
    void close()
    {
        if (listener_ < 0)
        {
            return;
        }
        state_->open = false;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(std::exchange(listener_, -1));
        {
            const std::lock_guard lock(state_->mutex);
            for (const int fd : state_->connections)
            {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        while (state_->in_handler > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

private:
    struct state
    {
        handler fn;
        std::atomic<bool> open{true};
        std::atomic<int> in_handler{0}; // close() waits for them, as they use the handler's owner
        std::mutex mutex;
        std::set<int> connections;
    };

    void open()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto at = address_of(ip_, port_);
        socklen_t size = sizeof(at);
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
            ::listen(listener_, 512) != 0)
        {
            throw std::runtime_error("cannot listen on " + address());
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        acceptor_ = std::thread([this] { accept_all(); });
    }

    void accept_all()
    {
        while (state_->open)
        {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(state_->mutex);
                state_->connections.insert(fd);
            }
            std::thread([s = state_, fd] { serve(s, fd); }).detach();
        }
    }

    static void serve(const std::shared_ptr<state>& s, int fd)
    {
        message_reader from(fd);
        std::string line;
        request r;
        bool silent = false;
        while (s->open && from.read(line, r.fields, r.body))
        {
            parse_line(line, r);
            const auto answer = silent ? response{} : handle(*s, r);
            silent = silent || answer.status == 0;
            const auto text = "HTTP/1.1 " + std::to_string(answer.status) +
                              " X\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
            if (!silent && (!s->open || !send_all(fd, text)))
            {
                break;
            }
        }
        const std::lock_guard lock(s->mutex);
        s->connections.erase(fd);
        ::close(fd);
    }

    static response handle(state& s, const request& r)
    {
        ++s.in_handler;
        const auto out = s.open ? s.fn(r) : response{};
        --s.in_handler;
        return out;
    }

    static void parse_line(const std::string& line, request& r)
    {
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        r.method = line.substr(0, first);
        const auto target = line.substr(first + 1, second - first - 1);
        const auto mark = target.find('?');
        r.path = target.substr(0, mark);
        r.query.clear();
        auto rest = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
        while (!rest.empty())
        {
            const auto end = rest.find('&');
            const auto pair = rest.substr(0, end);
            const auto eq = pair.find('=');
            r.query[pair.substr(0, eq)] =
                eq == std::string::npos ? "" : percent_decode(pair.substr(eq + 1));
            rest = end == std::string::npos ? std::string{} : rest.substr(end + 1);
        }
    }

    std::string ip_;
    int port_;
    int listener_ = -1;
    std::shared_ptr<state> state_;
    std::thread acceptor_;
};

// Sends one request on a connection of its own. The status is 0 without an answer in time.
inline response call(const std::string& ip,
    int port,
    const std::string& head,
    const std::string& body,
    std::chrono::milliseconds timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval wait{};
    wait.tv_sec = timeout.count() / 1000;
    wait.tv_usec = (timeout.count() % 1000) * 1000;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
    auto at = address_of(ip, port);
    response out;
    const auto text =
        head + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0 && send_all(fd, text))
    {
        message_reader from(fd);
        std::string line;
        std::map<std::string, std::string> fields;
        if (from.read(line, fields, out.body))
        {
            out.status = std::stoi(line.substr(line.find(' ') + 1));
        }
    }
    ::close(fd);
    return out;
}

} // namespace standin
