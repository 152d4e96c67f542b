#include "standin_support/test_client.hpp"

#include <array>
#include <charconv>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorhitch::standin_support
{

namespace
{

constexpr core::millis max_wait{5000};
constexpr core::millis iteration_wait{20};
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view length_field = "Content-Length: ";

/// \return the length of the body according to \p head; 0 without Content-Length.
std::size_t announced_length(const std::string& head)
{
    std::size_t n = 0;
    const auto at = head.find(length_field);
    if (at != std::string::npos)
    {
        std::from_chars(head.data() + at + length_field.size(), head.data() + head.size(), n);
    }
    return n;
}

} // namespace

bool run_until(event_loop& loop, const std::function<bool()>& condition)
{
    const auto last = loop.now() + max_wait;
    while (!condition())
    {
        if (loop.now() > last)
        {
            return false;
        }
        loop.run_once(iteration_wait);
    }
    return true;
}

test_client::test_client(event_loop& loop, std::uint16_t port)
    : loop_(loop), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

test_client::~test_client()
{
    close();
}

void test_client::close()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
        fd_ = -1;
    }
}

void test_client::send(const std::string& method,
    const std::string& path,
    const std::string& body,
    const std::string& fields)
{
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + fields +
                      std::string(length_field) + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t sent = 0;
    const auto send_some = [&]
    {
        const auto n =
            ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += n > 0 ? static_cast<std::size_t>(n) : 0;
        return sent == text.size();
    };
    run_until(loop_, send_some);
}

void test_client::receive_available()
{
    std::array<char, 65536> buf{};
    const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0)
    {
        received_.append(buf.data(), static_cast<std::size_t>(n));
    }
    ended_ = ended_ || n == 0 || (n < 0 && errno != EAGAIN);
}

bool test_client::wait_for(const std::function<bool()>& condition)
{
    const auto is_done = [&]
    {
        receive_available();
        return condition() || ended_;
    };
    return run_until(loop_, is_done) && condition();
}

std::string test_client::read_through(const std::string& text)
{
    if (!wait_for([&] { return received_.find(text) != std::string::npos; }))
    {
        return "";
    }
    const auto end = received_.find(text) + text.size();
    auto taken = received_.substr(0, end);
    received_.erase(0, end);
    return taken;
}

std::string test_client::read_answer()
{
    const auto head = read_through(std::string(head_end));
    if (head.empty())
    {
        return ended_ ? "closed" : "silent";
    }
    const auto n = announced_length(head);
    if (!wait_for([&] { return received_.size() >= n; }))
    {
        return "cut short";
    }
    const auto body = received_.substr(0, n);
    received_.erase(0, n);
    const auto status = head.substr(head.find(' ') + 1, 3);
    return status + " " + body;
}

std::string test_client::call(const std::string& method,
    const std::string& path,
    const std::string& body,
    const std::string& fields)
{
    send(method, path, body, fields);
    return read_answer();
}

bool test_client::is_closed()
{
    return wait_for([this] { return ended_; });
}

} // namespace camphorhitch::standin_support
