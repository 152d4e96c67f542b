#include "channel.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <utility>

namespace camphorhitch::relay
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t read_bytes = 1U << 16;
/// Most bytes that one reading takes, so that a flood can't hold up the loop.
constexpr std::size_t most_read_at_once = 1U << 20;
/// Bytes that were sent and not acknowledged for so long end the connection: a machine without
/// power or behind a cut says nothing.
constexpr int user_timeout_ms = 1500;

std::string length_of(std::size_t n)
{
    std::string out(length_bytes, '\0');
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        out[i] = static_cast<char>((n >> (8 * i)) & 0xffU);
    }
    return out;
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        n |= std::size_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
    }
    return n;
}

} // namespace

void tune(ACE_SOCK_Stream& socket)
{
    int on = 1;
    int timeout = user_timeout_ms;
    socket.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    socket.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    socket.enable(ACE_NONBLOCK);
}

channel::channel(
    reactor::event_loop& loop, const ACE_SOCK_Stream& socket, bool connected, channel_events e)
    : loop_(loop), socket_(socket), events_(std::move(e)), connected_(connected)
{
}

channel::~channel()
{
    close();
}

void channel::open()
{
    watches_writing_ = !connected_;
    watch();
}

bool channel::connected() const
{
    return connected_ && open_;
}

bool channel::is_open() const
{
    return open_;
}

std::uint64_t channel::queued_bytes() const
{
    return queued_;
}

std::uint64_t channel::written_bytes() const
{
    return written_;
}

std::uint64_t channel::received() const
{
    return received_;
}

void channel::watch()
{
    loop_.watch_fd(socket_.get_handle(),
        true,
        watches_writing_,
        [weak = weak_from_this()](reactor::fd_events it)
        {
            if (const auto self = weak.lock())
            {
                self->on_ready(it);
            }
        });
}

void channel::on_ready(reactor::fd_events it)
{
    if (!connected_)
    {
        finish_connect();
        return;
    }
    if (it.writable)
    {
        write();
    }
    if (it.readable || it.failed)
    {
        read_now();
    }
    if (open_ && it.failed)
    {
        fail("connection broken");
    }
}

void channel::finish_connect()
{
    int ec = 0;
    int size = sizeof(ec);
    socket_.get_option(SOL_SOCKET, SO_ERROR, &ec, &size);
    if (ec != 0)
    {
        fail(std::string("connect: ") + std::strerror(ec));
        return;
    }
    connected_ = true;
    write();
    if (open_ && !watches_writing_)
    {
        watch();
    }
}

void channel::send(std::string_view frame)
{
    if (!open_)
    {
        return;
    }
    out_ += length_of(frame.size());
    out_ += frame;
    queued_ += length_bytes + frame.size();
    if (connected_ && !watches_writing_)
    {
        write();
    }
    if (open_ && out_.size() - out_from_ > most_unsent)
    {
        fail("the other side does not read");
    }
}

void channel::write()
{
    while (out_from_ < out_.size())
    {
        const auto n = socket_.send(out_.data() + out_from_, out_.size() - out_from_);
        if (n < 0 && errno != EWOULDBLOCK && errno != EINTR)
        {
            fail(std::string("send: ") + std::strerror(errno));
            return;
        }
        if (n <= 0)
        {
            break;
        }
        out_from_ += static_cast<std::size_t>(n);
        written_ += static_cast<std::uint64_t>(n);
    }
    if (out_from_ == out_.size() || out_from_ > batch_bytes)
    {
        out_.erase(0, out_from_);
        out_from_ = 0;
    }
    const bool wants = !out_.empty();
    if (wants != watches_writing_)
    {
        watches_writing_ = wants;
        watch();
    }
}

void channel::read_now()
{
    // A frame's event may ask for a reading of its own; the outer one goes on with what it brings.
    if (!open_ || !connected_ || taking_)
    {
        return;
    }
    const auto self = shared_from_this();
    taking_ = true;
    const bool sound = take_bytes();
    const auto ec = errno;
    take_frames();
    taking_ = false;
    if (open_ && !sound)
    {
        fail(ec == 0 ? "closed by the other side" : std::string("receive: ") + std::strerror(ec));
    }
}

/// \return whether the connection goes on; if not, errno tells why, 0: it was closed.
bool channel::take_bytes()
{
    std::array<char, read_bytes> buf{};
    std::size_t total = 0;
    while (total < most_read_at_once)
    {
        const auto n = socket_.recv(buf.data(), buf.size());
        if (n < 0)
        {
            return errno == EWOULDBLOCK || errno == EINTR;
        }
        if (n == 0)
        {
            errno = 0;
            return false;
        }
        total += static_cast<std::size_t>(n);
        in_.append(buf.data(), static_cast<std::size_t>(n));
        ++received_;
        if (static_cast<std::size_t>(n) < buf.size())
        {
            return true;
        }
    }
    return true;
}

void channel::take_frames()
{
    std::size_t at = 0;
    while (open_ && in_.size() - at >= length_bytes)
    {
        const auto n = read_length(std::string_view(in_).substr(at));
        if (n > largest_frame)
        {
            fail("a frame of " + std::to_string(n) + " bytes");
            return;
        }
        if (in_.size() - at - length_bytes < n)
        {
            break;
        }
        events_.on_frame(std::string_view(in_).substr(at + length_bytes, n));
        at += length_bytes + n;
    }
    in_.erase(0, at);
}

void channel::close()
{
    if (!open_)
    {
        return;
    }
    open_ = false;
    loop_.watch_fd(socket_.get_handle(), false, false, {});
    socket_.close();
}

void channel::fail(const std::string& why)
{
    const auto self = shared_from_this();
    close();
    events_.on_closed(why);
}

} // namespace camphorhitch::relay
