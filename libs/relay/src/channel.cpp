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
/// Maximum number of bytes of one read, so that a large amount of incoming data can't block the
/// event loop.
constexpr std::size_t max_read_bytes = 1U << 20;
/// Unacknowledged data ends the connection after this time: a machine that has lost its power or
/// its network sends no reset.
constexpr int user_timeout_ms = 1500;

std::string encode_length(std::size_t n)
{
    std::string out(length_bytes, '\0');
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        out[i] = static_cast<char>((n >> (8 * i)) & 0xffU);
    }
    return out;
}

std::size_t decode_length(std::string_view bytes)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        n |= std::size_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
    }
    return n;
}

} // namespace

void configure_socket(ACE_SOCK_Stream& socket)
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
    watching_writable_ = !connected_;
    update_watch();
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
    return queued_bytes_;
}

std::uint64_t channel::written_bytes() const
{
    return written_bytes_;
}

std::uint64_t channel::receive_count() const
{
    return receive_count_;
}

void channel::update_watch()
{
    loop_.watch_fd(socket_.get_handle(),
        true,
        watching_writable_,
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
    if (open_ && !watching_writable_)
    {
        update_watch();
    }
}

void channel::send(std::string_view frame)
{
    if (!open_)
    {
        return;
    }
    send_buffer_ += encode_length(frame.size());
    send_buffer_ += frame;
    queued_bytes_ += length_bytes + frame.size();
    if (connected_ && !watching_writable_)
    {
        write();
    }
    if (open_ && send_buffer_.size() - send_offset_ > max_unsent_bytes)
    {
        fail("the other side does not read");
    }
}

void channel::write()
{
    while (send_offset_ < send_buffer_.size())
    {
        const auto n =
            socket_.send(send_buffer_.data() + send_offset_, send_buffer_.size() - send_offset_);
        if (n < 0 && errno != EWOULDBLOCK && errno != EINTR)
        {
            fail(std::string("send: ") + std::strerror(errno));
            return;
        }
        if (n <= 0)
        {
            break;
        }
        send_offset_ += static_cast<std::size_t>(n);
        written_bytes_ += static_cast<std::uint64_t>(n);
    }
    if (send_offset_ == send_buffer_.size() || send_offset_ > max_batch_bytes)
    {
        send_buffer_.erase(0, send_offset_);
        send_offset_ = 0;
    }
    const bool watch_writable = !send_buffer_.empty();
    if (watch_writable != watching_writable_)
    {
        watching_writable_ = watch_writable;
        update_watch();
    }
}

void channel::read_now()
{
    // An event handler of a frame may call read_now() again; the outer call processes the data that
    // it would read.
    if (!open_ || !connected_ || reading_)
    {
        return;
    }
    const auto self = shared_from_this();
    reading_ = true;
    const bool usable = receive_bytes();
    const auto ec = errno;
    dispatch_frames();
    reading_ = false;
    if (open_ && !usable)
    {
        fail(ec == 0 ? "closed by the other side" : std::string("receive: ") + std::strerror(ec));
    }
}

/// \return whether the connection is still usable. If not, errno holds the reason; 0: the peer has
///   closed the connection.
bool channel::receive_bytes()
{
    std::array<char, read_bytes> buf{};
    std::size_t total = 0;
    while (total < max_read_bytes)
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
        receive_buffer_.append(buf.data(), static_cast<std::size_t>(n));
        ++receive_count_;
        if (static_cast<std::size_t>(n) < buf.size())
        {
            return true;
        }
    }
    return true;
}

void channel::dispatch_frames()
{
    std::size_t at = 0;
    while (open_ && receive_buffer_.size() - at >= length_bytes)
    {
        const auto n = decode_length(std::string_view(receive_buffer_).substr(at));
        if (n > max_frame_bytes)
        {
            fail("a frame of " + std::to_string(n) + " bytes");
            return;
        }
        if (receive_buffer_.size() - at - length_bytes < n)
        {
            break;
        }
        events_.on_frame(std::string_view(receive_buffer_).substr(at + length_bytes, n));
        at += length_bytes + n;
    }
    receive_buffer_.erase(0, at);
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

void channel::fail(const std::string& reason)
{
    const auto self = shared_from_this();
    close();
    events_.on_closed(reason);
}

} // namespace camphorhitch::relay
